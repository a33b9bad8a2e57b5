import type { DirectRoute } from './DirectRoute.js';

/** Fraction of the objective that may pass before the start; the rest is for the first event. */
const START_OBJECTIVE_FRACTION = 0.5;

/** Computes how long a request may still wait and meet its latency objective, milliseconds. */
export function computeStartSlackMs(route: DirectRoute, elapsedMs: number): number {
  return Math.max(0, START_OBJECTIVE_FRACTION * route.objectiveMs - elapsedMs);
}
