import { z } from 'zod';
import { AddressSetting } from './AddressSetting.js';
import { UrlSetting } from './UrlSetting.js';

/** Section `[platform]`: where a daemon reaches the platform. */
export const PlatformSettings = z.strictObject({
  /** Key-value service. */
  store: AddressSetting,
  /** Instance list. */
  instances: UrlSetting,
});

export type PlatformSettings = z.infer<typeof PlatformSettings>;
