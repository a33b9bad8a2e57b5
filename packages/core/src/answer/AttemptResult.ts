import type { Failure } from '../errors/Failure.js';

/** State of a request at an entry after an attempt that did not complete. */
export interface AttemptResult {
  /** `unsent`: no byte of the attempt was sent. The other values are those of `AnswerEvent`. */
  readonly end: 'unsent' | 'refused' | 'failed' | 'silent' | 'broken';
  readonly failure: Failure;
  /** Whether the service allows the request to run more than once. */
  readonly repeatable: boolean;
  /**
   * Whether the request has an idempotency key, which agents claim before they dispatch the
   * request. Another attempt with the key cannot run the request twice, so it is safe until the
   * caller has received the head of an answer. Defaults to false.
   */
  readonly keyed?: boolean;
  /** Whether an earlier attempt of this request may have been run. */
  readonly ranBefore: boolean;
  /** Whether the caller has received the head of an answer. */
  readonly headSent: boolean;
  /** Whether the service can resume an answer at a token offset. */
  readonly resumable: boolean;
  /** Whether the retry budget, the deadline and the available targets allow another attempt. */
  readonly retryAllowed: boolean;
}
