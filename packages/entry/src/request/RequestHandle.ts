import type { EntryRun } from './EntryRun.js';

/**
 * Links a caller's connection with its request. The caller may disconnect before the request has
 * been admitted, and the request may end before the connection.
 */
export class RequestHandle {
  #run: EntryRun | null = null;

  #isGone = false;

  /** Whether the caller has disconnected. */
  get isGone(): boolean {
    return this.#isGone;
  }

  /** The request; null until it has been admitted. */
  get run(): EntryRun | null {
    return this.#run;
  }

  setRun(run: EntryRun): void {
    this.#run = run;
  }

  markGone(): void {
    this.#isGone = true;
  }
}
