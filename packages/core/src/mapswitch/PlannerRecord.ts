import { z } from 'zod';
import { Epoch } from '../ids/Epoch.js';

/**
 * The planner record of a group. It is stored under another key than the lease and not removed
 * with it, so that the epoch never decreases.
 */
export const PlannerRecord = z.object({
  epoch: Epoch,
  /** Name of the lease holder, for the log. */
  holder: z.string(),
  /** Operation id of the write; shows whether an unanswered acquisition took effect. */
  operation: z.string(),
});

export type PlannerRecord = z.infer<typeof PlannerRecord>;
