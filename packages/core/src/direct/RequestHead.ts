/** The head of a request: what an entry knows before it reads the body. */
export interface RequestHead {
  /** Id of this attempt of the caller; targets return it in their answer. */
  readonly id: string;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly url: string;
  /** Path without its query. */
  readonly path: string;
  readonly host: string;
  readonly apiKey: string | null;
  /** IP address of the caller; null where an API key identifies it. */
  readonly callerAddress: string | null;
  /** How long the caller waits, from the arrival, milliseconds; null where not stated. */
  readonly timeoutMs: number | null;
  /** Id of the event after which the caller resumes a broken stream; null for a new request. */
  readonly lastEventId: string | null;
  /** Tokens of the prompt, and most tokens of the answer; 0 where not stated. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Expected tokens of the answer; null where not stated, NaN where it is not a number. */
  readonly lengthHint: number | null;
  /** Description of the whole prompt, as the caller sent it; empty where not stated. */
  readonly prompt: string;
  /** Ids of the parts of the prompt that other requests may share; callers choose them. */
  readonly promptParts: readonly string[];
  /** Headers to forward, as alternating names and values. */
  readonly forwarded: readonly string[];
}
