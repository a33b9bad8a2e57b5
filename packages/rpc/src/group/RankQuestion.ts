import { z } from 'zod';
import { Incarnation } from '@limpetbay/core';

/** Sent by a restarted rank to ask another rank for its recovery reply. */
export const RankQuestion = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
});

export type RankQuestion = z.infer<typeof RankQuestion>;
