import { z } from 'zod';
import { Incarnation } from '../ids/Incarnation.js';
import { RankRefusal } from './RankRefusal.js';

/** A rank's answer to a pending map record: a promise, or a refusal with its reason. */
export const PromiseReply = z.object({
  rank: z.number().int().nonnegative(),
  incarnation: Incarnation,
  version: z.number().int(),
  refusal: RankRefusal.nullable(),
  grantedUntil: z.number().int(),
});

export type PromiseReply = z.infer<typeof PromiseReply>;
