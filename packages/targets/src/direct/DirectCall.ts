/** A request to a target on a connection that carries one request at a time. */
export interface DirectCall {
  readonly method: string;
  /** Path with its query. */
  readonly url: string;
  /** Names and values alternate. */
  readonly headers: readonly string[];
  readonly body: Buffer | null;
  /** Longest idle time after which an open connection is reused, milliseconds. */
  readonly maxIdleMs: number;
}
