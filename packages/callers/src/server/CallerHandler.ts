import type { CallerAnswer } from '../answer/CallerAnswer.js';
import type { CallerRequest } from '../request/CallerRequest.js';

/** What an entry does with callers' requests. */
export interface CallerHandler {
  /** Runs a request. Returns a function to call when the caller goes away. */
  run(request: CallerRequest, answer: CallerAnswer): () => void;
  /** Returns the body of `GET /v1/entries`. */
  describeEntries(): object;
  /** Returns whether the entry can serve, and the body of `GET /healthz`. */
  describeHealth(): { readonly ready: boolean; readonly body: object };
  /** Returns the text of `GET /metrics`. */
  formatMetrics(): string;
  isLeaving(): boolean;
}
