import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { RankRefusal } from './RankRefusal.js';

/** A rank's answer to `PrepareRequest`. */
export const PrepareReply = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
  /** Version of the requested map. */
  version: z.number().int(),
  refusal: RankRefusal.nullable(),
  isLoaded: z.boolean(),
  /** Last step that the engine may have been granted. */
  grantedUntil: z.number().int(),
  /** Version of the map in force at the engine's step; -1 while a switch is under way. */
  inForce: z.number().int(),
});

export type PrepareReply = z.infer<typeof PrepareReply>;
