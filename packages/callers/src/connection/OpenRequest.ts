import type { RequestProgress } from './RequestProgress.js';

/** A request of a caller that has no complete answer. */
export interface OpenRequest {
  /** Id of the request; null if the caller named none or its head is incomplete. */
  readonly id: string | null;
  readonly progress: RequestProgress;
  /** Bytes that the connection has taken since the head of the request arrived. */
  readonly sentBytes: number;
  /** Time since the head of the request arrived, milliseconds; 0 if it is incomplete. */
  readonly ms: number;
}
