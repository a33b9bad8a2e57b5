/** What a request costs the target that runs it. */
export interface RequestWork {
  /** Time of a fully used rank, milliseconds; 1 for services without an engine model. */
  readonly workMs: number;
  /** Tokens that the request holds in the KV cache when it ends. */
  readonly kvTokens: number;
}
