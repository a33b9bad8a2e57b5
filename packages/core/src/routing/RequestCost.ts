/** The expected cost of a request, known before it is sent. */
export interface RequestCost {
  /** Estimated tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** The most tokens that may be generated; 0 for plain services. */
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first; each stands for all tokens up to its end. */
  readonly prefixHashes?: readonly string[];
}
