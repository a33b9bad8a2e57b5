import type { EntryRun } from './EntryRun.js';

/** Links a caller's connection with its request, whichever of the two ends first. */
export class RequestHandle {
  #run: EntryRun | null = null;

  #isGone = false;

  /** Whether the caller has gone away. */
  get isGone(): boolean {
    return this.#isGone;
  }

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
