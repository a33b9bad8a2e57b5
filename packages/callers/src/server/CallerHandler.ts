import type { CallerAnswer } from '../answer/CallerAnswer.js';
import type { CallerRequest } from '../request/CallerRequest.js';

/** Handles the requests that the HTTP server for callers has parsed. */
export interface CallerHandler {
  /**
   * Runs a request and writes its answer.
   *
   * @returns a function that the server calls when the connection closes, also after the answer
   */
  acceptRequest(request: CallerRequest, answer: CallerAnswer): () => void;
  /** Returns the body of `GET /v1/entries`. */
  describeEntries(): object;
  /** Returns whether the entry can serve, and the body of `GET /healthz`. */
  describeHealth(): { readonly ready: boolean; readonly body: object };
  /** Returns the text of `GET /metrics`. */
  formatMetrics(): string;
  /** Returns whether the entry is leaving, so that connections are closed after their answer. */
  isLeaving(): boolean;
}
