import { z } from 'zod';

const Version = z.number().int().nonnegative();

/** Status of one rank of a lock-step group, as reported by the rank. */
export const RankStatus = z.object({
  /** `IP:PORT` of the rank. */
  address: z.string(),
  group: z.string(),
  /** Increases with each formation of the group, which also resets all expert maps. */
  epoch: z.number().int(),
  rank: z.number().int().nonnegative(),
  /** Number of ranks in the group. */
  size: z.number().int().positive(),
  /** Whether the group is complete and takes requests. */
  isOpen: z.boolean(),
  /** Requests in the batch, and requests that wait for a slot in it. */
  active: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  /** Used part and total size of the KV cache, as the engine reports them. */
  kvUsed: z.number().nonnegative(),
  kvTotal: z.number().nonnegative(),
  /** Last pass that the rank began. */
  step: z.number().int().nonnegative(),
  /** Versions of the map in use and of a map that is completely loaded beside it, if any. */
  map: Version,
  prepared: Version.nullable(),
  /** The map to which the rank switches as pass `step` begins; null where not armed. */
  armed: z.object({ version: Version, step: z.number().int() }).nullable(),
  /** Pass that the rank holds: the group does not begin it before its release. */
  held: z.number().int().nullable(),
  /** Whether the rank is carrying out an order. */
  isBusy: z.boolean(),
  /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
  passMs: z.number().nonnegative(),
});

export type RankStatus = z.infer<typeof RankStatus>;
