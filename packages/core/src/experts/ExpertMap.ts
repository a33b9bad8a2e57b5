import { z } from 'zod';
import { LayerPlacement } from './LayerPlacement.js';

/** Which rank of a group holds which experts. */
export const ExpertMap = z.object({
  /** Grows with every map that a planner proposes, whether or not it comes into force. */
  version: z.number().int().nonnegative(),
  /** One entry for each layer, or a single entry that holds for every layer of the group. */
  layers: z.array(LayerPlacement).min(1),
});

export type ExpertMap = z.infer<typeof ExpertMap>;
