/** A started program under the control of a `ProcessSupervisor`. */
export interface SupervisedProcess<Settings> {
  /** Shuts down gracefully: accepts no new work and resolves when work in progress has ended. */
  stop(): Promise<void>;
  /** Applies checked settings; only those that may change in a running process differ. */
  applySettings(settings: Settings): void;
}
