import { z } from 'zod';
import { Counter } from '../schema/Counter.js';
import { DurationMs } from '../schema/DurationMs.js';
import { RankLoad } from './RankLoad.js';

/** State of a lock-step group, as its planner reports it to the entries. */
export const GroupReport = z.object({
  group: z.string(),
  epoch: Counter,
  isOpen: z.boolean(),
  /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
  passMs: DurationMs,
  /** Whether the active expert map is based on demand; the first one after a formation is not. */
  isMapped: z.boolean(),
  ranks: z.array(RankLoad),
});

export type GroupReport = z.infer<typeof GroupReport>;
