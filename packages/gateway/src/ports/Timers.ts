/** Schedules delayed actions; tests use an implementation with a manual clock. */
export interface Timers {
  /** Runs an action once after a delay. @returns a function that cancels it */
  schedule(delayMs: number, run: () => void): () => void;
}
