import { z } from 'zod';
import { Incarnation } from '@limpetbay/core';

/** Sent by a restarted rank to ask another rank for its recovery reply. */
export const RecoveryRequest = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
});

export type RecoveryRequest = z.infer<typeof RecoveryRequest>;
