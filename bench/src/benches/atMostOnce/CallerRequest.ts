/** A request of a simulated caller. */
export interface CallerRequest {
  readonly requestId: string;
  /** Idempotency key; empty for a request without one. */
  readonly key: string;
  readonly body: string;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
}
