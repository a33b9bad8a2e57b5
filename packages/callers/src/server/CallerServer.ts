/** The running HTTP server for callers. */
export interface CallerServer {
  /** Base URL. */
  readonly url: string;
  /** Takes no new connections and resolves when those in progress have ended. */
  drain(): Promise<void>;
  /** Cuts all connections. */
  close(): void;
}
