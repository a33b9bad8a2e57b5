import { z } from 'zod';
import { Address } from '../ids/Address.js';
import { DurationMs } from '../schema/DurationMs.js';
import { RequestCount } from '../schema/RequestCount.js';
import { numericBounds } from '../schema/numericBounds.js';

/** A target as it registered itself. */
export const DirectTarget = z.object({
  /** Usually new after a restart of the target, but may be reused. */
  id: z.string(),
  service: z.string(),
  address: Address,
  zone: z.string(),
  /** Requests that it processes at once. */
  capacity: RequestCount.positive(),
  isDraining: z.boolean(),
  /** How much longer it stays cold, from the time the record was written, milliseconds. */
  coldLeftMs: DurationMs,
  /** Start time, Unix milliseconds; distinguishes incarnations under one id. */
  bornMs: z.number().int().nonnegative().max(numericBounds.unixMs),
});

export type DirectTarget = z.infer<typeof DirectTarget>;
