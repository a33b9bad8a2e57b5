import type { Failure } from '../errors/Failure.js';

/** What to do after a failed attempt. */
export type RetryDecision =
  /** Send the request to another target. */
  | { readonly action: 'retry'; readonly delayMs: number; readonly reason: string }
  /** Continue the stream on another target, from the tokens delivered. */
  | { readonly action: 'resume'; readonly delayMs: number; readonly reason: string }
  /** Tell the caller; after bytes were sent, as an error event and a broken connection. */
  | { readonly action: 'fail'; readonly failure: Failure; readonly reason: string };
