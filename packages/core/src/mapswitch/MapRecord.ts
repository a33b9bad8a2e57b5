import { z } from 'zod';
import { ExpertMap } from '../experts/ExpertMap.js';
import { Epoch } from '../ids/Epoch.js';
import { Incarnation } from '../ids/Incarnation.js';

/**
 * The map record of a group, one key of the store. A version is written `pending` once and decided
 * once, each by CAS, so every reader of a decision reads the same one.
 */
export const MapRecord = z.object({
  /** Epoch of the planner that proposed the map. */
  epoch: Epoch,
  /** Operation id of the last write; settles a write whose answer was lost. */
  operation: z.string(),
  status: z.enum(['pending', 'committed', 'abandoned']),
  /** First step with `map` if committed. */
  boundary: z.number().int().nonnegative(),
  /** Incarnations, by rank, whose promises the decision needs. */
  incarnations: z.array(Incarnation),
  map: ExpertMap,
  /** The map before `boundary`, and after it if abandoned. */
  previous: ExpertMap,
});

export type MapRecord = z.infer<typeof MapRecord>;
