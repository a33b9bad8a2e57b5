import { z } from 'zod';

/** A target as it registered itself. */
export const DirectTarget = z.object({
  /** New with most starts of the target, but not with all. */
  id: z.string(),
  service: z.string(),
  /** `IP:PORT`. */
  address: z.string(),
  zone: z.string(),
  /** Requests that it processes at once. */
  capacity: z.number().int().positive(),
  isDraining: z.boolean(),
  /** How much longer it stays cold from the moment of the entry, milliseconds. */
  coldLeftMs: z.number().nonnegative(),
  /** Start of the target, Unix milliseconds; tells lives under one id apart. */
  bornMs: z.number().int().nonnegative(),
});

export type DirectTarget = z.infer<typeof DirectTarget>;
