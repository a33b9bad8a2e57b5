import type { RequestId } from '../ids/RequestId.js';

/** Identifies one attempt of a request. An `AdmissionItem` is also an `AttemptId`. */
export interface AttemptId {
  readonly requestId: RequestId;
  /** Number of the attempt, from 1, counted across all targets. */
  readonly attempt: number;
}
