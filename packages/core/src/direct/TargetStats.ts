import type { RankLoad } from './RankLoad.js';
import { reportMaxAgeMs } from './reportMaxAgeMs.js';

/** Time constant with which failures are forgotten, milliseconds. */
const FAILURE_MEMORY_MS = 3000;

/** Way of a request to the target until its reports show it, milliseconds. */
const REPORT_DELAY_MS = 60;

/** What one entry knows of the load and health of one target. */
export class TargetStats {
  /** Requests of this entry that the target has not answered yet. */
  inFlight = 0;

  #failures = 0;

  #failuresAtMs = 0;

  #load: RankLoad | null = null;

  #loadAtMs = -Infinity;

  /** Times at which this entry sent requests that the last report may not show yet. */
  #sentAtMs: number[] = [];

  recordSent(nowMs: number): void {
    this.inFlight += 1;
    this.#sentAtMs.push(nowMs);
  }

  recordEnd(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  recordFailure(nowMs: number): void {
    this.#failures = this.getFailures(nowMs) + 1;
    this.#failuresAtMs = nowMs;
  }

  /** Returns the number of recent failures, older ones count less. */
  getFailures(nowMs: number): number {
    return this.#failures * Math.exp((this.#failuresAtMs - nowMs) / FAILURE_MEMORY_MS);
  }

  acceptLoad(load: RankLoad, nowMs: number): void {
    this.#load = load;
    this.#loadAtMs = nowMs;
    this.#sentAtMs = this.#sentAtMs.filter((sentAtMs) => sentAtMs > nowMs - REPORT_DELAY_MS);
  }

  /** Returns the last load report, or null where it is too old. */
  getLoad(nowMs: number): RankLoad | null {
    return nowMs - this.#loadAtMs <= reportMaxAgeMs ? this.#load : null;
  }

  /**
   * Estimates the requests at the target, of all entries.
   *
   * @param entries number of entries, for the time without load reports
   */
  estimateOccupancy(nowMs: number, entries: number): number {
    const load = this.getLoad(nowMs);
    if (load === null) return this.inFlight * entries;
    return load.active + load.queued + this.#sentAtMs.length;
  }
}
