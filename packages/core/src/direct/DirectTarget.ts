import { z } from 'zod';

/** A target as it registered itself. */
export const DirectTarget = z.object({
  /** Usually new after a restart of the target, but may be reused. */
  id: z.string(),
  service: z.string(),
  /** `IP:PORT`. */
  address: z.string(),
  zone: z.string(),
  /** Requests that it processes at once. */
  capacity: z.number().int().positive(),
  isDraining: z.boolean(),
  /** How much longer it stays cold, from the time the record was written, milliseconds. */
  coldLeftMs: z.number().nonnegative(),
  /** Start time, Unix milliseconds; distinguishes incarnations under one id. */
  bornMs: z.number().int().nonnegative(),
});

export type DirectTarget = z.infer<typeof DirectTarget>;
