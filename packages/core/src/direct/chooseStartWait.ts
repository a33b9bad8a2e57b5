import { computeFreshMs } from './computeFreshMs.js';
import type { DirectRoute } from './DirectRoute.js';
import type { PickResult } from './PickResult.js';

interface StartWait {
  /** Wait after which the request misses its objective even if it starts, milliseconds. */
  readonly freshMs: number;
  /** Wait after which it is refused, milliseconds; 0 where it is refused at once. */
  readonly maxWaitMs: number;
}

type Obstacle = Extract<PickResult, { target: null }>['reason'];

/**
 * Decides how long a request that no target can take now waits for one. Groups that are about to
 * form and cold targets serve within the time that callers stay, which is better for them than a refusal after a
 * loss of power: most have used their repeat on the connection that broke.
 *
 * @param elapsedMs time since the request arrived, milliseconds
 */
export function chooseStartWait(
  route: DirectRoute,
  obstacle: Obstacle,
  elapsedMs: number,
): StartWait {
  const freshMs = computeFreshMs(route, elapsedMs);
  if (route.kind !== 'stream') return { freshMs, maxWaitMs: 0 };
  if (obstacle === 'overloaded') return { freshMs, maxWaitMs: freshMs };
  if (obstacle === 'no_target') return { freshMs, maxWaitMs: 0 };
  // The first event takes its time as well, and the caller leaves if it comes too late.
  const maxWaitMs = Math.max(0, route.patienceMs - route.objectiveMs - elapsedMs);
  return { freshMs, maxWaitMs };
}
