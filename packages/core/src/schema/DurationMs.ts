import { z } from 'zod';
import { numericBounds } from './numericBounds.js';

/** A duration that other processes or writers name, milliseconds. */
export const DurationMs = z.number().nonnegative().max(numericBounds.durationMs);

export type DurationMs = z.infer<typeof DurationMs>;
