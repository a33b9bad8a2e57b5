import { z } from 'zod';
import { ExpertMap } from '../experts/ExpertMap.js';
import { Epoch } from '../ids/Epoch.js';
import { Incarnation } from '../ids/Incarnation.js';

/**
 * The map record of a group, stored under one key. A version is written once as `pending` and once
 * with its decision, both by compare-and-swap, so that all readers see the same decision.
 */
export const MapRecord = z.object({
  /** Epoch of the planner that proposed the map. */
  epoch: Epoch,
  /** Operation id of the last write; shows whether an unanswered write took effect. */
  operation: z.string(),
  status: z.enum(['pending', 'committed', 'abandoned']),
  /** First step that uses `map`, if committed. */
  boundary: z.number().int().nonnegative(),
  /** Incarnations, by rank, whose promises a commit requires. */
  incarnations: z.array(Incarnation),
  map: ExpertMap,
  /** Map for steps before `boundary`, and for all steps if abandoned. */
  previous: ExpertMap,
});

export type MapRecord = z.infer<typeof MapRecord>;
