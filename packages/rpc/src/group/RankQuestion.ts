import { z } from 'zod';
import { Incarnation } from '@limpetbay/core';

/** A rank that asks what the others know. */
export const RankQuestion = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
});

export type RankQuestion = z.infer<typeof RankQuestion>;
