import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** Number of ranks of a group. */
export const GroupSize = z.number().int().positive().max(numericBounds.ranks);

export type GroupSize = z.infer<typeof GroupSize>;
