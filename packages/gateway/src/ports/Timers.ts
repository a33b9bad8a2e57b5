/** Starts actions after a delay; tests replace it by one that follows a manual clock. */
export interface Timers {
  /** @returns a function that cancels the action */
  schedule(delayMs: number, run: () => void): () => void;
}
