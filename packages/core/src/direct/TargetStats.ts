import type { RankLoad } from './RankLoad.js';
import { reportMaxAgeMs } from './reportMaxAgeMs.js';

/** Time constant of the exponential decay of failures, milliseconds. */
const FAILURE_DECAY_MS = 3000;

/** Delay until a sent request appears in the reports of its target, milliseconds. */
const REPORT_DELAY_MS = 60;

/** Decayed failures below this number change no choice of a target. */
const NEGLIGIBLE_FAILURES = 0.01;

/** Load and recent failures of one target, as one entry sees them. */
export class TargetStats {
  /** Requests of this entry that the target has not answered yet. */
  inFlight = 0;

  #failures = 0;

  #failuresUpdatedMs = 0;

  #load: RankLoad | null = null;

  #loadReceivedMs = -Infinity;

  /** Times at which this entry sent requests that the last report may not show yet. */
  #sentAtMs: number[] = [];

  recordSent(nowMs: number): void {
    this.inFlight += 1;
    // Targets of plain services never report.
    if (this.getLoad(nowMs) === null) this.#forgetSent(nowMs);
    this.#sentAtMs.push(nowMs);
  }

  recordEnd(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  recordFailure(nowMs: number): void {
    this.#failures = this.getFailures(nowMs) + 1;
    this.#failuresUpdatedMs = nowMs;
  }

  /** Returns the number of recent failures, exponentially decayed by age. */
  getFailures(nowMs: number): number {
    return this.#failures * Math.exp((this.#failuresUpdatedMs - nowMs) / FAILURE_DECAY_MS);
  }

  handleLoad(load: RankLoad, nowMs: number): void {
    this.#load = load;
    this.#loadReceivedMs = nowMs;
    this.#forgetSent(nowMs);
  }

  /** Returns the last load report, or null where it is too old. */
  getLoad(nowMs: number): RankLoad | null {
    return nowMs - this.#loadReceivedMs <= reportMaxAgeMs ? this.#load : null;
  }

  /** Returns how many times slower than an ordinary rank the target is, by its last load report. */
  getPace(nowMs: number): number {
    return this.getLoad(nowMs)?.pace ?? 1;
  }

  /** Returns the number of requests of this entry that the last report may not show. */
  countUnreported(): number {
    return this.#sentAtMs.length;
  }

  /**
   * Estimates the requests at the target, of all entries.
   *
   * @param entries number of entries, all assumed to have as many in flight without a load report
   */
  estimateOccupancy(nowMs: number, entries: number): number {
    const load = this.getLoad(nowMs);
    if (load === null) return this.inFlight * entries;
    return load.active + load.queued + this.#sentAtMs.length;
  }

  /** Returns whether nothing would be lost if the target were forgotten. */
  isIdle(nowMs: number): boolean {
    const hasFailed = this.getFailures(nowMs) >= NEGLIGIBLE_FAILURES;
    return this.inFlight === 0 && !hasFailed && this.getLoad(nowMs) === null;
  }

  /** Forgets the requests that a report of this moment shows. */
  #forgetSent(nowMs: number): void {
    this.#sentAtMs = this.#sentAtMs.filter((sentAtMs) => sentAtMs > nowMs - REPORT_DELAY_MS);
  }
}
