import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** Number of a rank within its group, from 0. */
export const RankNumber = z
  .number()
  .int()
  .nonnegative()
  .max(numericBounds.ranks - 1);

export type RankNumber = z.infer<typeof RankNumber>;
