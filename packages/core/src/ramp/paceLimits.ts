/**
 * Bounds on the pace of a target relative to its warm value. A batching engine at its intended
 * concurrency takes more than twice the step time of an idle one (57 ms against some 25 ms at the
 * design size), so up to `near` counts as warm. `slow` lies clear of that, and `cold` is what only
 * a target that lost its caches, or a broken one, shows.
 */
export const paceLimits = {
  /** Below: the pace still improves, so the target is still warming up. */
  improving: 0.8,
  near: 2.5,
  slow: 3.5,
  cold: 5,
} as const;
