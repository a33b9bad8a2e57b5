import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { RankRefusal } from './RankRefusal.js';

/** A rank's reply to a `PrepareRequest`. */
export const PrepareReply = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
  /** Version of the requested map. */
  version: z.number().int(),
  refusal: RankRefusal.nullable(),
  /** Whether the weights of the requested map are loaded. */
  isLoaded: z.boolean(),
  /** Last step that the engine may have been granted. */
  grantedUntil: z.number().int(),
  /** Version of the active map at the engine's step; -1 while a switch is in progress. */
  inForce: z.number().int(),
});

export type PrepareReply = z.infer<typeof PrepareReply>;
