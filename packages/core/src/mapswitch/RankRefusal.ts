import { z } from 'zod';

/**
 * Why a rank refuses a planner's request: it has not read the store since its start, the epoch is
 * below its floor, an earlier switch is not finished, its weights are not loaded, the record names
 * an incarnation that is gone, or it has granted the boundary step.
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
