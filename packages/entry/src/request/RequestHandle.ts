import type { RequestRun } from './RequestRun.js';

/**
 * Links a caller's connection with its request. The caller may disconnect before the request has
 * been admitted, and the request may end before the connection.
 */
export class RequestHandle {
  #run: RequestRun | null = null;

  #isGone = false;

  /** Whether the caller has disconnected. */
  get isDisconnected(): boolean {
    return this.#isGone;
  }

  /** The request; null until it has been admitted. */
  get run(): RequestRun | null {
    return this.#run;
  }

  setRun(run: RequestRun): void {
    this.#run = run;
  }

  markDisconnected(): void {
    this.#isGone = true;
  }
}
