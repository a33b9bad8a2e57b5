import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { MapRecord } from './MapRecord.js';

/**
 * What a rank knows, told to a rank that restarted. With it goes a pledge: this incarnation
 * promises no record that names an earlier incarnation of the asking rank.
 */
export const RankEvidence = z.object({
  rank: z.number().int().nonnegative(),
  /** Incarnation that asked; an answer to an earlier one is dropped. */
  askedBy: Incarnation,
  /** The newest record; null where the rank has not read the store since its own start. */
  record: MapRecord.nullable(),
});

export type RankEvidence = z.infer<typeof RankEvidence>;
