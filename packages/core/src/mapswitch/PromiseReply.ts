import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { RankRefusal } from './RankRefusal.js';

/** A rank's reply to a pending map record: a promise, or the reason for a refusal. */
export const PromiseReply = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
  version: z.number().int(),
  refusal: RankRefusal.nullable(),
  /** Last step that the engine may have been granted. */
  grantedUntil: z.number().int(),
});

export type PromiseReply = z.infer<typeof PromiseReply>;
