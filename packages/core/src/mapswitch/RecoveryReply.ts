import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { MapRecord } from './MapRecord.js';

/**
 * A rank's reply to a rank that restarted: its newest map record, and the promise that this
 * incarnation will promise no record that names an earlier incarnation of the requesting rank.
 */
export const RecoveryReply = z.object({
  rank: z.number().int().nonnegative(),
  /** Incarnation that sent the request; later incarnations ignore the reply. */
  askedBy: Incarnation,
  /** Newest known record; null if the rank has not read the store since its own start. */
  record: MapRecord.nullable(),
});

export type RecoveryReply = z.infer<typeof RecoveryReply>;
