import { z } from 'zod';

/** One measured line: how a cost grows with a size. */
export const CapacitySlope = z.strictObject({
  /** Name, `role.figure`. */
  id: z.string(),
  /** Unit of the cost, such as `us` or `bytes`. */
  unit: z.string(),
  /** What the size counts. */
  per: z.string(),
  /** `time` and `memory` vary between runs; `exact` are counts and encoded bytes. */
  kind: z.enum(['time', 'memory', 'exact']),
  /** Cost of one more. */
  slope: z.number(),
  /** Cost at size 0. */
  intercept: z.number(),
  /** Standard error of the slope over the slope. */
  error: z.number(),
  /** Measured sizes, ascending. */
  sizes: z.array(z.number()).min(3),
});

export type CapacitySlope = z.infer<typeof CapacitySlope>;
