import { z } from 'zod';
import { DirectTarget } from './DirectTarget.js';

/** A target as it is seen by a choice, and why the choice leaves it out. */
export const TargetCheck = z.object({
  target: DirectTarget,
  /**
   * First rule that excludes the target; null for a candidate.
   *
   * - `draining`, `left`: it leaves, or has left.
   * - `zone_out`: operators have taken its zone out.
   * - `failed_before`: it has failed the request before.
   * - `backing_off`: it wants no request for a time.
   * - `group_forming`, `group_closed`: its group may open soon, or lacks a rank.
   * - `limited`: it has reached the limit that it named.
   * - `cold`: it is cold and its rate is used up.
   * - `initial_map`: this entry has used its share of a group with its initial expert map.
   * - `busy`: it has no free slot, or its passes are too long for another stream.
   */
  exclusion: z
    .enum([
      'draining',
      'left',
      'zone_out',
      'failed_before',
      'backing_off',
      'group_forming',
      'group_closed',
      'limited',
      'cold',
      'initial_map',
      'busy',
    ])
    .nullable(),
  /** What the target asked for; `last_resort` gets only what no `open` target can take. */
  hold: z.enum(['open', 'last_resort', 'backing_off', 'closed']),
  isCold: z.boolean(),
  /** Requests of this entry that it has not answered. */
  inFlight: z.number(),
  /** Requests of all entries, as far as this entry knows. */
  occupancy: z.number(),
  /** Recent failures that this entry saw, decayed by age. */
  failures: z.number(),
  /** Part of its full share of requests that it gets after a start or trouble, 0 to 1. */
  paceLevel: z.number(),
  /** Duration of the passes of its group, milliseconds; null where none is known. */
  passMs: z.number().nullable(),
});

export type TargetCheck = z.infer<typeof TargetCheck>;
