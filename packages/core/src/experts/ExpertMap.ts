import { z } from 'zod';
import { LayerPlacement } from './LayerPlacement.js';

/** Assignment of expert copies to the ranks of a group. */
export const ExpertMap = z.object({
  /** Increases with every map that a planner proposes, whether or not the map becomes active. */
  version: z.number().int().nonnegative(),
  /** One entry per layer, or a single entry that applies to every layer of the group. */
  layers: z.array(LayerPlacement).min(1),
});

export type ExpertMap = z.infer<typeof ExpertMap>;
