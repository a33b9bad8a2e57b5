import { z } from 'zod';

/** Schema of the settings file of the `limpetbay` command. */
export const CliSettings = z.strictObject({
  store: z.strictObject({
    /** `IP:PORT` of the key-value store. */
    address: z.string().regex(/^\S+:\d+$/, 'allowed: IP:PORT'),
    timeout_ms: z.coerce.number().int().min(50).max(60_000).default(2000),
  }),
  instances: z.strictObject({
    /** Base URL of the instance list. */
    url: z.string().regex(/^https?:\/\/\S+$/, 'allowed: http://HOST:PORT'),
    timeout_ms: z.coerce.number().int().min(50).max(60_000).default(2000),
  }),
  accept: z
    .strictObject({
      /** Maximum time that `accept` waits until all processes have activated the document. */
      confirm_ms: z.coerce.number().int().min(0).max(600_000).default(3000),
    })
    .prefault({}),
});

export type CliSettings = z.infer<typeof CliSettings>;
