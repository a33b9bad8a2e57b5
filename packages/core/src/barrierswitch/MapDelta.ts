import { z } from 'zod';

/** One copy of an expert: layer set, rank and expert. */
const Copy = z.tuple([
  z.number().int().nonnegative(),
  z.number().int().nonnegative(),
  z.number().int().nonnegative(),
]);

/** Difference between two expert maps. */
export const MapDelta = z.object({
  added: z.array(Copy),
  removed: z.array(Copy),
});

export type MapDelta = z.infer<typeof MapDelta>;
