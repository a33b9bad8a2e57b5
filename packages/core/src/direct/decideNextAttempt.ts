import type { AttemptOutcome } from './AttemptOutcome.js';
import type { DirectRoute } from './DirectRoute.js';
import { isRepeatableRoute } from './isRepeatableRoute.js';

interface AttemptState {
  readonly outcome: AttemptOutcome;
  /** Targets that received the request. */
  readonly sent: number;
  /** Targets that could not be reached. */
  readonly unreachable: number;
  /** Time until the caller or the route gives up, milliseconds. */
  readonly leftMs: number;
}

/** Connections that are tried in vain for one request. */
const MAX_UNREACHABLE = 3;

/** Less time than this is not enough for another attempt, milliseconds. */
const MIN_LEFT_MS = 20;

/** Decides whether a request may be sent to another target; the retry budget is asked after it. */
export function decideNextAttempt(route: DirectRoute, state: AttemptState): 'retry' | 'give_up' {
  if (state.leftMs < MIN_LEFT_MS) return 'give_up';
  if (state.sent >= route.maxAttempts) return 'give_up';
  if (state.unreachable >= MAX_UNREACHABLE) return 'give_up';
  if (state.outcome === 'unreachable' || state.outcome === 'rejected') return 'retry';
  return isRepeatableRoute(route) ? 'retry' : 'give_up';
}
