import { z } from 'zod';

const Version = z.number().int().nonnegative();

/** What a rank of a lock-step group says about itself. */
export const RankStatus = z.object({
  /** `IP:PORT` of the rank. */
  address: z.string(),
  group: z.string(),
  /** Counts how often the group has formed; all maps start anew with it. */
  epoch: z.number().int(),
  rank: z.number().int().nonnegative(),
  /** Ranks of the group. */
  size: z.number().int().positive(),
  isOpen: z.boolean(),
  /** Requests in the batch, and requests that wait for a place in it. */
  active: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  kvUsed: z.number().nonnegative(),
  kvTotal: z.number().nonnegative(),
  /** Last pass that was begun. */
  step: z.number().int().nonnegative(),
  /** Version of the map in use, and of one that is completely loaded beside it. */
  map: Version,
  prepared: Version.nullable(),
  /** The map that the rank switches to as the pass `step` begins. */
  armed: z.object({ version: Version, step: z.number().int() }).nullable(),
  /** Pass that the group does not begin before it is released. */
  held: z.number().int().nullable(),
  /** Whether an order is in progress. */
  isBusy: z.boolean(),
  /** Mean time of the recent passes, milliseconds; 0 where the group was idle. */
  passMs: z.number().nonnegative(),
});

export type RankStatus = z.infer<typeof RankStatus>;
