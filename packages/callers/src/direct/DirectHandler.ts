import type { RequestHead } from '@limpetbay/core';
import type { DirectAnswer } from './DirectAnswer.js';

/** Handles the requests that a `DirectServer` has read. */
export interface DirectHandler {
  /**
   * @param receivedMs when the request was read, monotonic milliseconds; it may have waited since for
   *   earlier ones on its connection
   * @returns a function that the server calls if the caller disconnects before the answer ends
   */
  acceptRequest(
    head: RequestHead,
    body: Buffer,
    answer: DirectAnswer,
    receivedMs: number,
  ): () => void;
}
