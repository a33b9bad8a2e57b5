import { z } from 'zod';

const Version = z.number().int().positive();
const Step = z.number().int().nonnegative();

/** An order to one rank of a lock-step group. All are idempotent. */
export const RankOrder = z.discriminatedUnion('operation', [
  z.object({
    operation: z.literal('prepare'),
    version: Version,
    /** Experts by set and rank. */
    sets: z.array(z.array(z.array(z.number().int().nonnegative()))),
  }),
  z.object({ operation: z.literal('arm'), version: Version, step: Step }),
  z.object({ operation: z.literal('disarm'), version: Version }),
  z.object({ operation: z.literal('hold'), step: Step }),
  z.object({ operation: z.literal('go'), step: Step }),
]);

export type RankOrder = z.infer<typeof RankOrder>;
