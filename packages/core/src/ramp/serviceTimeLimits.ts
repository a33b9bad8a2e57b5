/**
 * Bounds on the service or step time of a target relative to its warm value. A batching engine at
 * its intended concurrency takes more than twice the step time of an idle one (57 ms instead of
 * about 25 ms at the design size), so ratios up to `near` count as warm. `slow` is clearly above
 * that, and only a target that lost its caches or is faulty reaches `cold`.
 */
export const serviceTimeLimits = {
  /** Below this the service time is still improving, so the target is still warming up. */
  improving: 0.8,
  near: 2.5,
  slow: 3.5,
  cold: 5,
} as const;
