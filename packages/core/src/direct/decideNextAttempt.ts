import type { AttemptOutcome } from './AttemptOutcome.js';
import type { DirectRoute } from './DirectRoute.js';
import { isRepeatableRoute } from './isRepeatableRoute.js';

interface AttemptState {
  readonly outcome: AttemptOutcome;
  /** Targets that received the request. */
  readonly sentCount: number;
  /** Targets that could not be reached. */
  readonly unreachableCount: number;
  /** Whether another target could not know where to continue an answer that has begun. */
  readonly isPositionUnknown: boolean;
  /** Time until the request or the caller times out, milliseconds. */
  readonly remainingMs: number;
}

/** Unreachable targets after which a request is given up. */
const MAX_UNREACHABLE_TARGETS = 3;

/** Least remaining time for another attempt, milliseconds. */
const MIN_REMAINING_MS = 20;

/** Decides whether another target may be tried, before the retry budget is checked. */
export function decideNextAttempt(route: DirectRoute, state: AttemptState): 'retry' | 'give_up' {
  if (state.remainingMs < MIN_REMAINING_MS) return 'give_up';
  if (state.sentCount >= route.maxAttempts) return 'give_up';
  if (state.unreachableCount >= MAX_UNREACHABLE_TARGETS) return 'give_up';
  if (state.isPositionUnknown) return 'give_up';
  if (state.outcome === 'unreachable' || state.outcome === 'rejected') return 'retry';
  return isRepeatableRoute(route) ? 'retry' : 'give_up';
}
