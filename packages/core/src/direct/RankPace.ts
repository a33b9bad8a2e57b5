import { z } from 'zod';
import { numericBounds } from '../schema/numericBounds.js';

/** How many times longer a rank takes than an ordinary one for the same work; absent means 1. */
export const RankPace = z.number().min(1).max(numericBounds.pace);

export type RankPace = z.infer<typeof RankPace>;
