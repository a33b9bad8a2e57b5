import type { CallerRequest } from './CallerRequest.js';
import type { Tally } from './Tally.js';

/** Records which requests the targets ran, independently of what agents and entries report. */
export class RunLog {
  readonly #tally: Tally;

  readonly #runsById = new Map<string, number>();

  readonly #runsByKey = new Map<string, number>();

  constructor(tally: Tally) {
    this.#tally = tally;
  }

  /**
   * Records that a target starts to run a request.
   *
   * @param isLate whether the deadline of the request has passed
   */
  add(request: CallerRequest, isLate: boolean): void {
    const { requestId, key, repeatable } = request;
    const byId = (this.#runsById.get(requestId) ?? 0) + 1;
    this.#runsById.set(requestId, byId);
    this.#tally.runs += 1;
    if (isLate) this.#tally.lateRuns += 1;
    if (key !== '') {
      const byKey = (this.#runsByKey.get(key) ?? 0) + 1;
      this.#runsByKey.set(key, byKey);
      if (byKey > 1) this.#tally.doubledRuns += 1;
    } else if (!repeatable && byId > 1) this.#tally.doubledRuns += 1;
  }

  has(requestId: string): boolean {
    return this.#runsById.has(requestId);
  }
}
