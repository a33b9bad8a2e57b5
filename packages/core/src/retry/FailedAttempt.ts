import type { AttemptResult } from '../answer/AttemptResult.js';
import type { Failure } from '../errors/Failure.js';

/** A failed attempt and the state of its request, as input of `decideRetry`. */
export interface FailedAttempt {
  /**
   * Why the attempt failed. A kind with `run: 'no'` in `answerTable` means that the agent declared
   * the request not run, or that the entry never sent the attempt.
   */
  readonly failure: Failure;
  /**
   * How the attempt ended. If omitted, a kind with `run: 'no'` counts as a refusal by the agent and
   * any other kind as a failure after dispatch.
   */
  readonly end?: AttemptResult['end'];
  /** Whether the request has an idempotency key; agents claim it, so no attempt runs it twice. */
  readonly keyed?: boolean;
  /** Whether the request may safely run more than once. */
  readonly repeatable: boolean;
  /** Whether an earlier attempt of the request may have run. */
  readonly mayHaveRun: boolean;
  /** Whether any byte of the answer was sent to the caller. */
  readonly bytesSent: boolean;
  /** Whether the engine can continue a stream after the tokens already delivered. */
  readonly resumable: boolean;
  /** Number of attempts so far, including the failed one. */
  readonly attempts: number;
  /** Time left until the caller's deadline, milliseconds. */
  readonly deadlineMs: number;
}
