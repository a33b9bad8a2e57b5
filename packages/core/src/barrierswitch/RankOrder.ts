import { z } from 'zod';

const Version = z.number().int().positive();
const Step = z.number().int().nonnegative();

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
    sets: z.array(z.array(z.array(z.number().int().nonnegative()))),
  }),
  z.object({ operation: z.literal('arm'), version: Version, step: Step }),
  z.object({ operation: z.literal('disarm'), version: Version }),
  z.object({ operation: z.literal('hold'), step: Step }),
  z.object({ operation: z.literal('go'), step: Step }),
]);

export type RankOrder = z.infer<typeof RankOrder>;
