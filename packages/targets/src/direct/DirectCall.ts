/** A request to a target over a connection that carries one request at a time. */
export interface DirectCall {
  readonly method: string;
  /** Path with its query. */
  readonly url: string;
  /** Name and value in turn. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Idle time up to which an open connection is used again, milliseconds. */
  readonly maxIdleMs: number;
}
