import { z } from 'zod';

/**
 * Reason why a rank refuses a planner's request:
 * - `not_ready`: it has not read the store since its start.
 * - `stale_epoch`: the epoch is below its minimum epoch.
 * - `unfinished`: an earlier switch is not finished.
 * - `not_loaded`: the weights of the map are not loaded.
 * - `old_incarnation`: the record names an expired incarnation.
 * - `granted`: the boundary step may have been granted already.
 */
export const RankRefusal = z.enum([
  'not_ready',
  'stale_epoch',
  'unfinished',
  'not_loaded',
  'old_incarnation',
  'granted',
]);

export type RankRefusal = z.infer<typeof RankRefusal>;
