import { z } from 'zod';

const ExpertId = z.number().int().nonnegative();

/** Assignment of one layer's expert copies to ranks. */
export const LayerPlacement = z
  .object({
    /** Expert ids by rank; a rank holds at most one copy of an expert. */
    ranks: z.array(z.array(ExpertId)).min(1),
    /**
     * Share of its expert's load that each copy takes, in the shape of `ranks`. Without it, the
     * load of an expert is split evenly over its copies.
     */
    shares: z.array(z.array(z.number().min(0).max(1))).optional(),
  })
  .refine((layer) => layer.ranks.every((slots) => new Set(slots).size === slots.length), {
    message: 'a rank holds the same expert more than once',
  })
  .refine(
    ({ ranks, shares }) =>
      shares === undefined ||
      (shares.length === ranks.length &&
        shares.every((row, rank) => row.length === ranks[rank]?.length)),
    { message: 'shares must have one entry per expert of each rank' },
  );

export type LayerPlacement = z.infer<typeof LayerPlacement>;
