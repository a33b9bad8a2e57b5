import { z } from 'zod';
import { numericBounds } from '../schema/numericBounds.js';

/** The experts that one rank holds of one layer set. */
export const ExpertList = z
  .array(z.number().int().nonnegative().max(numericBounds.experts))
  .max(numericBounds.experts);

export type ExpertList = z.infer<typeof ExpertList>;
