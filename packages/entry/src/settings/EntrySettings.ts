import { z } from 'zod';
import { InstanceId, Zone } from '@limpetbay/core';
import { AddressSetting, LogSettings, PlatformSettings, UrlSetting } from '@limpetbay/runtime';

/** Settings of `limpetbay-entry`, by section and key of its INI file. */
export const EntrySettings = z.strictObject({
  entry: z.strictObject({
    id: InstanceId,
    zone: Zone,
    /** `IP:PORT` for other limpetbay processes. */
    address: AddressSetting,
    /** IP to listen on for callers. */
    caller_host: z.string().default('0.0.0.0'),
    /** 0 uses a free port. */
    caller_port: z.coerce.number().int().min(0).max(65_535),
    /** Base URL of this entry in the answer of `GET /v1/entries`; see `resolveCallerUrl`. */
    caller_url: UrlSetting,
    max_body_bytes: z.coerce.number().int().min(1024).max(67_108_864).default(8_388_608),
  }),
  platform: PlatformSettings,
  log: LogSettings,
  timing: z
    .strictObject({
      tick_ms: z.coerce.number().int().min(5).max(1000).default(20),
      /** Time without a frame after which an attempt fails and its connection is replaced. */
      silence_ms: z.coerce.number().int().min(1000).max(60_000).default(3000),
      /** Time for which callers may cache the answer of `GET /v1/entries`. */
      address_ttl_ms: z.coerce.number().int().min(100).max(3_600_000).default(10_000),
      write_timeout_ms: z.coerce.number().int().min(1000).max(600_000).default(30_000),
      stop_grace_ms: z.coerce.number().int().min(1000).max(7_200_000).default(600_000),
    })
    .prefault({}),
});

export type EntrySettings = z.infer<typeof EntrySettings>;
