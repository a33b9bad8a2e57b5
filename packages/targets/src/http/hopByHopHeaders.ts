/** Headers that concern one connection only, and the date, which each server sets itself. */
export const hopByHopHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'trailer',
  'te',
  'proxy-authenticate',
  'proxy-authorization',
  'date',
]);
