import type { Failure } from '../errors/Failure.js';

/** What an entry knows about a request when an attempt did not complete. */
export interface AttemptResult {
  /** `unsent`: no byte of the attempt left the process. The others are the ends of `AnswerEvent`. */
  readonly end: 'unsent' | 'refused' | 'failed' | 'silent' | 'broken';
  readonly failure: Failure;
  /** Whether the service allows the request to run more than once. */
  readonly repeatable: boolean;
  /**
   * Whether the request has a key that agents claim before they hand it over. Another attempt with
   * the key cannot lead to a second run, so it may follow until the caller has the head of an answer.
   * False where it is left out.
   */
  readonly keyed?: boolean;
  /** Whether an earlier attempt of the same request may have been run. */
  readonly ranBefore: boolean;
  /** Whether the caller has received the head of an answer. */
  readonly headSent: boolean;
  /** Whether the service can continue an answer from a token offset. */
  readonly resumable: boolean;
  /** Whether the retry budget, the deadline and the known targets allow another attempt. */
  readonly retryAllowed: boolean;
}
