import { z } from 'zod';
import { Counter } from '../schema/Counter.js';
import { numericBounds } from '../schema/numericBounds.js';
import { ExpertList } from './ExpertList.js';

const Version = Counter.positive();

/**
 * An order to one rank of a lock-step group; all are idempotent.
 *
 * - `prepare`: load a map beside the one in use.
 * - `arm`: switch to the prepared map as pass `step` begins.
 * - `disarm`: withdraw `arm`.
 * - `hold`: do not begin pass `step`, which stops the group there.
 * - `go`: release the held pass `step`.
 */
export const RankOrder = z.discriminatedUnion('operation', [
  z.object({
    operation: z.literal('prepare'),
    version: Version,
    /** The experts that each rank holds, by layer set, then by rank. */
    sets: z.array(z.array(ExpertList).max(numericBounds.ranks)).max(numericBounds.expertSets),
  }),
  z.object({ operation: z.literal('arm'), version: Version, step: Counter }),
  z.object({ operation: z.literal('disarm'), version: Version }),
  z.object({ operation: z.literal('hold'), step: Counter }),
  z.object({ operation: z.literal('go'), step: Counter }),
]);

export type RankOrder = z.infer<typeof RankOrder>;
