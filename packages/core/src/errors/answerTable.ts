import type { ErrorKind } from './ErrorKind.js';
import type { RunState } from './RunState.js';

interface ErrorAnswer {
  /** HTTP status. */
  readonly status: number;
  readonly run: RunState;
  /**
   * Whether another target may be tried immediately, because this one declared that nothing ran.
   */
  readonly retryElsewhere: boolean;
}

/** The HTTP answer for each error kind. */
export const answerTable: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  bad_request: { status: 400, run: 'no', retryElsewhere: false },
  unknown_service: { status: 404, run: 'no', retryElsewhere: false },
  method_not_allowed: { status: 405, run: 'no', retryElsewhere: false },
  body_too_large: { status: 413, run: 'no', retryElsewhere: false },
  request_too_slow: { status: 408, run: 'no', retryElsewhere: false },
  missing_workspace: { status: 401, run: 'no', retryElsewhere: false },
  key_reused: { status: 422, run: 'no', retryElsewhere: false },
  key_expired: { status: 422, run: 'no', retryElsewhere: false },
  key_in_progress: { status: 409, run: 'unknown', retryElsewhere: false },
  deadline_exceeded: { status: 504, run: 'no', retryElsewhere: false },
  overloaded: { status: 429, run: 'no', retryElsewhere: true },
  workspace_limited: { status: 429, run: 'no', retryElsewhere: false },
  no_target: { status: 503, run: 'no', retryElsewhere: false },
  not_ready: { status: 503, run: 'no', retryElsewhere: true },
  isolated: { status: 503, run: 'no', retryElsewhere: true },
  leaving: { status: 503, run: 'no', retryElsewhere: true },
  zone_out: { status: 503, run: 'no', retryElsewhere: true },
  request_blocked: { status: 503, run: 'no', retryElsewhere: false },
  target_cold: { status: 503, run: 'no', retryElsewhere: true },
  stale_incarnation: { status: 503, run: 'no', retryElsewhere: true },
  stale_epoch: { status: 409, run: 'no', retryElsewhere: false },
  store_unavailable: { status: 503, run: 'no', retryElsewhere: false },
  outcome_unknown: { status: 502, run: 'unknown', retryElsewhere: false },
  answer_incomplete: { status: 502, run: 'unknown', retryElsewhere: false },
  timed_out: { status: 504, run: 'unknown', retryElsewhere: false },
  target_error: { status: 502, run: 'unknown', retryElsewhere: false },
  cancelled: { status: 499, run: 'unknown', retryElsewhere: false },
  conflict: { status: 409, run: 'no', retryElsewhere: false },
  invalid_document: { status: 400, run: 'no', retryElsewhere: false },
  invalid_setting: { status: 400, run: 'no', retryElsewhere: false },
  internal: { status: 500, run: 'unknown', retryElsewhere: false },
};
