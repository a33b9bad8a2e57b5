/** The running HTTP server for callers. */
export interface CallerServer {
  /** Base URL. */
  readonly url: string;
  /** Returns the number of requests whose answers have not been written completely. */
  countAnswers(): number;
  /**
   * Stops accepting connections, refuses the requests whose bodies have not arrived completely, and
   * resolves when the open connections have closed.
   */
  drain(): Promise<void>;
  /** Closes all connections, also those with requests in progress. */
  close(): void;
}
