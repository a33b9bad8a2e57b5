import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** A number of requests at one target. */
export const RequestCount = z.number().int().nonnegative().max(numericBounds.requests);

export type RequestCount = z.infer<typeof RequestCount>;
