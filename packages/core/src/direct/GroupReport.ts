import { z } from 'zod';
import { RankLoad } from './RankLoad.js';

/** What the planner of a lock-step group tells the entries. */
export const GroupReport = z.object({
  group: z.string(),
  epoch: z.number().int(),
  isOpen: z.boolean(),
  /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
  passMs: z.number().nonnegative(),
  /** Load of the most loaded rank by experts, relative to the mean; null where it is not known. */
  skew: z.number().positive().nullable(),
  ranks: z.array(RankLoad),
});

export type GroupReport = z.infer<typeof GroupReport>;
