import type { DirectRoute } from './DirectRoute.js';

/** Part of the latency objective that may pass before the start; the rest is for the first event. */
const START_SHARE = 0.5;

/** Computes how much later a request may start and still meet its objective, milliseconds. */
export function computeFreshMs(route: DirectRoute, elapsedMs: number): number {
  return Math.max(0, START_SHARE * route.objectiveMs - elapsedMs);
}
