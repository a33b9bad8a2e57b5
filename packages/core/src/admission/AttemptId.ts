import type { RequestId } from '../ids/RequestId.js';

/** Identifies one attempt; an `AdmissionItem` can be passed wherever an id is expected. */
export interface AttemptId {
  readonly requestId: RequestId;
  /** Counts from 1 over all targets. */
  readonly attempt: number;
}
