import { z } from 'zod';

/** Load of one rank of a group, as reported to the entries. */
export const RankLoad = z.object({
  /** `IP:PORT` of the rank. */
  address: z.string(),
  /** Requests in the batch, and requests that wait for a slot in it. */
  active: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
});

export type RankLoad = z.infer<typeof RankLoad>;
