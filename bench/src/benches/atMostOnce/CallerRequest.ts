/** A request of a simulated caller. */
export interface CallerRequest {
  readonly requestId: string;
  /** Empty for a request without a key. */
  readonly key: string;
  readonly body: string;
  readonly repeatable: boolean;
  readonly deadlineMs: number;
}
