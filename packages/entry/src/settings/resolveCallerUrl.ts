/**
 * Replaces port 0 of the configured URL by the port that the entry listens on.
 *
 * @param listenUrl URL that the entry listens on
 */
export function resolveCallerUrl(configuredUrl: string, listenUrl: string): string {
  const url = new URL(configuredUrl);
  if (url.port !== '0') return configuredUrl;
  url.port = new URL(listenUrl).port;
  return url.href.replace(/\/$/, '');
}
