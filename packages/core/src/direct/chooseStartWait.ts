import { computeStartSlackMs } from './computeStartSlackMs.js';
import type { DirectRoute } from './DirectRoute.js';
import type { UnavailableReason } from './UnavailableReason.js';

interface StartWait {
  /** Longest wait after which a start can still meet the latency objective, milliseconds. */
  readonly startSlackMs: number;
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
 * @param backoffMs time until a target takes requests again, if all back off
 */
export function chooseStartWait(
  route: DirectRoute,
  reason: UnavailableReason,
  sinceProgressMs: number,
  isRepeat: boolean,
  backoffMs = Infinity,
): StartWait {
  // A failed attempt may have used up the objective; its retry still gets a short wait.
  const startSlackMs = computeStartSlackMs(route, isRepeat ? 0 : sinceProgressMs);
  if (reason === 'target_backoff') {
    return { startSlackMs, maxWaitMs: backoffMs < startSlackMs ? startSlackMs : 0 };
  }
  if (route.kind !== 'stream') return { startSlackMs, maxWaitMs: 0 };
  if (reason === 'target_limited') return { startSlackMs, maxWaitMs: startSlackMs };
  if (reason === 'no_target') return { startSlackMs, maxWaitMs: 0 };
  // Leaves time for the first event, because the caller times out if it arrives too late.
  const remainingMs = route.patienceMs - route.objectiveMs - sinceProgressMs;
  return { startSlackMs, maxWaitMs: Math.max(startSlackMs, remainingMs) };
}
