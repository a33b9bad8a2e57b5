/** A daemon that was started in this process. */
export interface RunningProcess {
  /** `IP:PORT` for other limpetbay processes. */
  readonly address: string;
  /** Graceful shutdown: takes no new work, finishes what is in progress, then ends. */
  stop(): Promise<void>;
  /** Ends at once as a crash would; used by tests. */
  crash(): void;
}
