import { z } from 'zod';

/** Section `[log]` of the settings file of a daemon. */
export const LogSettings = z
  .strictObject({
    format: z.enum(['text', 'json']).default('text'),
    level: z.enum(['info', 'warn', 'silent']).default('info'),
  })
  .prefault({});

export type LogSettings = z.infer<typeof LogSettings>;
