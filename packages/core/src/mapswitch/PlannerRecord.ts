import { z } from 'zod';
import { Epoch } from '../ids/Epoch.js';

/**
 * The planner record of a group. It outlives the lease, whose key is a separate one, so that the
 * epoch never falls.
 */
export const PlannerRecord = z.object({
  epoch: Epoch,
  /** Name of the holder, for the log. */
  holder: z.string(),
  /** Operation id of the write; settles an acquisition whose answer was lost. */
  operation: z.string(),
});

export type PlannerRecord = z.infer<typeof PlannerRecord>;
