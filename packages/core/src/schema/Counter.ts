import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** A number that only increases, such as a version, an epoch or a pass. */
export const Counter = z.number().int().nonnegative().max(numericBounds.counter);

export type Counter = z.infer<typeof Counter>;
