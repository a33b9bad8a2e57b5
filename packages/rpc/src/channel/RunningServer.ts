/** A gRPC server that accepts calls. */
export interface RunningServer {
  readonly port: number;
  /** Takes no new calls and resolves when those in progress have ended. */
  drain(): Promise<void>;
  /** Ends all calls at once. */
  close(): void;
}
