import { computeFreshMs } from './computeFreshMs.js';
import type { DirectRoute } from './DirectRoute.js';
import type { StartObstacle } from './StartObstacle.js';

interface StartWait {
  /** Longest wait after which a start can still meet the latency objective, milliseconds. */
  readonly freshMs: number;
  /** Wait after which the request is refused, milliseconds; 0 where it is refused at once. */
  readonly maxWaitMs: number;
}

/**
 * Decides how long a request waits when no target can take it now. Groups that are about to form
 * and cold targets usually become available before callers time out. After a power failure waiting
 * is better than a refusal: most callers have used their retry on the connection that broke.
 *
 * @param sinceProgressMs time since the arrival or the last event to the caller, milliseconds
 * @param isRepeat whether an earlier attempt of the request failed
 */
export function chooseStartWait(
  route: DirectRoute,
  reason: StartObstacle,
  sinceProgressMs: number,
  isRepeat: boolean,
): StartWait {
  // A failed attempt may have used up the objective; its retry still gets a short wait.
  const freshMs = computeFreshMs(route, isRepeat ? 0 : sinceProgressMs);
  if (route.kind !== 'stream') return { freshMs, maxWaitMs: 0 };
  if (reason === 'overloaded') return { freshMs, maxWaitMs: freshMs };
  if (reason === 'no_target') return { freshMs, maxWaitMs: 0 };
  // Leaves time for the first event, because the caller times out if it arrives too late.
  const remainingMs = route.patienceMs - route.objectiveMs - sinceProgressMs;
  return { freshMs, maxWaitMs: Math.max(freshMs, remainingMs) };
}
