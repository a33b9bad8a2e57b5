import { z } from 'zod';
import { RankPace } from '../direct/RankPace.js';
import { Address } from '../ids/Address.js';
import { Counter } from '../schema/Counter.js';
import { DurationMs } from '../schema/DurationMs.js';
import { GroupSize } from '../schema/GroupSize.js';
import { Quantity } from '../schema/Quantity.js';
import { RankNumber } from '../schema/RankNumber.js';
import { RequestCount } from '../schema/RequestCount.js';

/** Status of one rank of a lock-step group, as reported by the rank. */
export const RankStatus = z
  .object({
    /** Address of the rank. */
    address: Address,
    group: z.string(),
    /** Increases with each formation of the group, which also resets all expert maps. */
    epoch: Counter,
    rank: RankNumber,
    /** Number of ranks in the group. */
    size: GroupSize,
    /** Whether the group is complete and takes requests. */
    isOpen: z.boolean(),
    /** Requests in the batch, and requests that wait for a slot in it. */
    active: RequestCount,
    queued: RequestCount,
    /** Used part and total size of the KV cache, as the engine reports them. */
    kvUsed: Quantity,
    kvTotal: Quantity,
    /** Last pass that the rank began. */
    step: Counter,
    /** Versions of the map in use and of a map that is completely loaded beside it, if any. */
    map: Counter,
    prepared: Counter.nullable(),
    /** The map to which the rank switches as pass `step` begins; null where not armed. */
    armed: z.object({ version: Counter, step: Counter }).nullable(),
    /** Pass that the rank holds: the group does not begin it before its release. */
    held: Counter.nullable(),
    /** Whether the rank is carrying out an order. */
    isBusy: z.boolean(),
    /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
    passMs: DurationMs,
    /** An invalid value is ignored, because the rest of the status is still needed. */
    pace: RankPace.optional().catch(undefined),
  })
  .refine(({ rank, size }) => rank < size, { path: ['rank'], message: 'must be below the size' });

export type RankStatus = z.infer<typeof RankStatus>;
