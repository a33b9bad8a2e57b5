import type { Failure } from '../errors/Failure.js';

/** What to do after a failed attempt. */
export type RetryDecision =
  /** Send the request to another target. */
  | { readonly action: 'retry'; readonly delayMs: number; readonly reason: string }
  /** Continue the stream on another target after the tokens already delivered. */
  | { readonly action: 'resume'; readonly delayMs: number; readonly reason: string }
  /**
   * Send the failure to the caller: after the first byte as an error event and a closed connection.
   */
  | { readonly action: 'fail'; readonly failure: Failure; readonly reason: string };
