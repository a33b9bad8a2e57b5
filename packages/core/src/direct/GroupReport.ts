import { z } from 'zod';
import { RankLoad } from './RankLoad.js';

/** What the planner of a lock-step group tells the entries. */
export const GroupReport = z.object({
  group: z.string(),
  epoch: z.number().int(),
  isOpen: z.boolean(),
  /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
  passMs: z.number().nonnegative(),
  /** Whether the map in force fits the demand; after a formation it is made without knowing any. */
  isMapped: z.boolean(),
  ranks: z.array(RankLoad),
});

export type GroupReport = z.infer<typeof GroupReport>;
