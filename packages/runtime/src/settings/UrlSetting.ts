import { z } from 'zod';

/** Setting with the base URL of an HTTP server. */
export const UrlSetting = z.url({ protocol: /^http$/, error: 'must be an http:// URL' });

export type UrlSetting = z.infer<typeof UrlSetting>;
