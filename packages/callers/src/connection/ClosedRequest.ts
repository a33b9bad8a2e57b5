import type { CloseCause } from './CloseCause.js';
import type { OpenRequest } from './OpenRequest.js';

/** A request that ended without an answer, or that the server for callers refused itself. */
export interface ClosedRequest extends OpenRequest {
  readonly cause: CloseCause;
  /** Code of the error that closed the connection; null without one. */
  readonly code: string | null;
}
