import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** A rate or size: a number a second, tokens or megabytes. */
export const Quantity = z.number().nonnegative().max(numericBounds.quantity);

export type Quantity = z.infer<typeof Quantity>;
