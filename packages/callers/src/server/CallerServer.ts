/** The running HTTP server for callers. */
export interface CallerServer {
  /** Base URL. */
  readonly url: string;
  /** Stops accepting connections and resolves when the open ones have closed. */
  drain(): Promise<void>;
  /** Closes all connections, also those with requests in progress. */
  close(): void;
}
