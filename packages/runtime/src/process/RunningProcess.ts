/** A daemon that runs in this process. */
export interface RunningProcess {
  /** `IP:PORT` at which other limpetbay processes reach the daemon. */
  readonly address: string;
  /** Shuts down gracefully: accepts no new work and resolves when work in progress has ended. */
  stop(): Promise<void>;
  /** Ends immediately without a graceful shutdown, to simulate a crash in tests. */
  kill(): void;
}
