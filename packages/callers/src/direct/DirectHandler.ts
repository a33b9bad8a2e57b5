import type { RequestHead } from '@limpetbay/core';
import type { DirectAnswer } from './DirectAnswer.js';

/** Takes the requests that a direct server has read. */
export interface DirectHandler {
  /** @returns a function that the server calls when the caller has left before the end */
  acceptRequest(head: RequestHead, body: Buffer, answer: DirectAnswer): () => void;
}
