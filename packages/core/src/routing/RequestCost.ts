/** The expected cost of a request, estimated before it is sent. */
export interface RequestCost {
  /** Estimated tokens of the prompt; 0 for plain services. */
  readonly promptTokens: number;
  /** Maximum number of tokens that may be generated; 0 for plain services. */
  readonly maxTokens: number;
  /** Hashes of the prompt's prefixes, shortest first; each covers all tokens up to its end. */
  readonly prefixHashes?: readonly string[];
}
