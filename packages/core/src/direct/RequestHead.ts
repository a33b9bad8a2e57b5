/** What an entry knows of a request before it reads the body. */
export interface RequestHead {
  /** Id of this attempt of the caller; targets echo it. */
  readonly id: string;
  readonly method: string;
  /** Path with its query, as the caller sent it. */
  readonly url: string;
  /** Path without its query. */
  readonly path: string;
  readonly host: string;
  readonly apiKey: string | null;
  /** How long the caller waits from the arrival on, milliseconds; null where it did not say. */
  readonly timeoutMs: number | null;
  /** Event after which the caller wants a broken stream to go on. */
  readonly lastEventId: string | null;
  /** Tokens of the prompt and of the longest answer; 0 where the caller did not say. */
  readonly promptTokens: number;
  readonly answerTokens: number;
  /** Headers that are passed on, name and value in turn. */
  readonly forwarded: readonly string[];
}
