import { z } from 'zod';

/** What an agent says about the rank beside it. */
export const RankLoad = z.object({
  /** Name of the group and its number of formations. */
  group: z.string(),
  epoch: z.number(),
  rank: z.number().int().nonnegative(),
  isOpen: z.boolean(),
  /** Requests in the batch, and requests that wait for a place in it. */
  active: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  kvUsed: z.number().nonnegative(),
  kvTotal: z.number().nonnegative(),
  /** Mean time of the group's recent passes, milliseconds; 0 where it was idle. */
  passMs: z.number().nonnegative(),
});

export type RankLoad = z.infer<typeof RankLoad>;
