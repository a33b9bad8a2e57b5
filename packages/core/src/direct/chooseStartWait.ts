import { computeFreshMs } from './computeFreshMs.js';
import type { DirectRoute } from './DirectRoute.js';
import type { StartObstacle } from './StartObstacle.js';

interface StartWait {
  /** Wait after which the request misses its objective even if it starts, milliseconds. */
  readonly freshMs: number;
  /** Wait after which it is refused, milliseconds; 0 where it is refused at once. */
  readonly maxWaitMs: number;
}

/**
 * Decides how long a request that no target can take now waits for one. Groups that are about to
 * form and cold targets serve within the time that callers stay. That is better for them than a
 * refusal after a loss of power: most have used their repeat on the connection that broke.
 *
 * @param silentMs time since the request arrived or its caller got an event, milliseconds
 * @param isRepeat whether the request goes on after a failed attempt
 */
export function chooseStartWait(
  route: DirectRoute,
  obstacle: StartObstacle,
  silentMs: number,
  isRepeat: boolean,
): StartWait {
  // A failed attempt may have used up the objective; its repeat still gets a short wait.
  const freshMs = computeFreshMs(route, isRepeat ? 0 : silentMs);
  if (route.kind !== 'stream') return { freshMs, maxWaitMs: 0 };
  if (obstacle === 'overloaded') return { freshMs, maxWaitMs: freshMs };
  if (obstacle === 'no_target') return { freshMs, maxWaitMs: 0 };
  // The first event takes its time as well, and the caller leaves if it comes too late.
  const stayMs = route.patienceMs - route.objectiveMs - silentMs;
  return { freshMs, maxWaitMs: Math.max(freshMs, stayMs) };
}
