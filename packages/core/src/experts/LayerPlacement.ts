import { z } from 'zod';

const ExpertId = z.number().int().nonnegative();

/** Where the copies of one layer's experts are. */
export const LayerPlacement = z
  .object({
    /** Expert ids by rank; a rank holds at most one copy of an expert. */
    ranks: z.array(z.array(ExpertId)).min(1),
    /**
     * Share of an expert's load that each copy takes, in the shape of `ranks`. Without it, the
     * load of an expert is split evenly over its copies.
     */
    shares: z.array(z.array(z.number().min(0).max(1))).optional(),
  })
  .refine((layer) => layer.ranks.every((slots) => new Set(slots).size === slots.length), {
    message: 'a rank holds two copies of one expert',
  })
  .refine(
    ({ ranks, shares }) =>
      shares === undefined ||
      (shares.length === ranks.length &&
        shares.every((row, rank) => row.length === ranks[rank]?.length)),
    { message: 'shares do not have the shape of ranks' },
  );

export type LayerPlacement = z.infer<typeof LayerPlacement>;
