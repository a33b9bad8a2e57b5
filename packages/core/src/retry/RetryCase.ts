import type { AttemptResult } from '../answer/AttemptResult.js';
import type { Failure } from '../errors/Failure.js';

/** A failed attempt and what is known about its request. */
export interface RetryCase {
  /**
   * Why the attempt failed. A kind with `run: 'no'` in `answerTable` is the agent's declaration, or
   * says that the entry never sent the attempt.
   */
  readonly failure: Failure;
  /**
   * How the attempt ended. Left out, a kind with `run: 'no'` counts as the agent's refusal and any
   * other as a failure after the hand-over.
   */
  readonly end?: AttemptResult['end'];
  /** Whether it has a key that agents claim, so that another attempt cannot run it twice. */
  readonly keyed?: boolean;
  /** Whether the request may run twice. */
  readonly repeatable: boolean;
  /** Whether an earlier attempt of the request may have run. */
  readonly mayHaveRun: boolean;
  /** Whether any byte of the answer reached the caller. */
  readonly bytesSent: boolean;
  /** Whether the engine can continue a stream from the tokens already delivered. */
  readonly resumable: boolean;
  /** Attempts made so far, the failed one included. */
  readonly attempts: number;
  /** Milliseconds left until the caller's deadline. */
  readonly deadlineMs: number;
}
