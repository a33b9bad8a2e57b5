import { z } from 'zod';
import { AddressSetting } from './AddressSetting.js';
import { UrlSetting } from './UrlSetting.js';

/** Section `[platform]` of the settings file of a daemon: addresses of the platform services. */
export const PlatformSettings = z.strictObject({
  /** `IP:PORT` of the key-value store. */
  store: AddressSetting,
  /** Base URL of the instance list. */
  instances: UrlSetting,
});

export type PlatformSettings = z.infer<typeof PlatformSettings>;
