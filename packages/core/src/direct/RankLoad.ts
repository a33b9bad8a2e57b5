import { z } from 'zod';
import { Address } from '../ids/Address.js';
import { RequestCount } from '../schema/RequestCount.js';
import { RankPace } from './RankPace.js';

/** Load of one rank of a group, as reported to the entries. */
export const RankLoad = z.object({
  /** Address of the rank. */
  address: Address,
  /** Requests in the batch, and requests that wait for a slot in it. */
  active: RequestCount,
  queued: RequestCount,
  pace: RankPace.optional(),
});

export type RankLoad = z.infer<typeof RankLoad>;
