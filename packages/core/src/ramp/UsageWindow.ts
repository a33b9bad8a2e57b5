import { computeMedian } from './computeMedian.js';
import type { UsageSummary } from './UsageSummary.js';

/** Enough for a median; keeps a window of a busy target small. */
const MAX_RATIOS = 128;

/** Collects what happened since the last decision about a limit. */
export class UsageWindow {
  #startMs: number;

  #updatedMs: number;

  #atLimitMs = 0;

  #atLimit = false;

  #finished = 0;

  #failed = 0;

  #samples = 0;

  #waiting = 0;

  #ratios: number[] = [];

  constructor(nowMs: number) {
    this.#startMs = nowMs;
    this.#updatedMs = nowMs;
  }

  /** Begins a new window; the occupancy carries over. */
  reset(nowMs: number): void {
    this.setOccupancy(nowMs, this.#atLimit);
    this.#startMs = nowMs;
    this.#atLimitMs = 0;
    this.#finished = 0;
    this.#failed = 0;
    this.#samples = 0;
    this.#waiting = 0;
    this.#ratios = [];
  }

  /** Records from now on whether all granted slots are taken. */
  setOccupancy(nowMs: number, atLimit: boolean): void {
    if (this.#atLimit) this.#atLimitMs += nowMs - this.#updatedMs;
    this.#updatedMs = nowMs;
    this.#atLimit = atLimit;
  }

  recordFinish(error: boolean): void {
    this.#finished += 1;
    if (error) this.#failed += 1;
  }

  /** @param ratio pace over warm pace; null when no warm value is known yet */
  recordPace(ratio: number | null): void {
    this.#samples += 1;
    if (ratio === null) return;
    if (this.#ratios.length < MAX_RATIOS) this.#ratios.push(ratio);
    else this.#ratios[this.#samples % MAX_RATIOS] = ratio;
  }

  recordWaiting(waiting: number): void {
    if (waiting > this.#waiting) this.#waiting = waiting;
  }

  getLength(nowMs: number): number {
    return nowMs - this.#startMs;
  }

  describe(nowMs: number): UsageSummary {
    this.setOccupancy(nowMs, this.#atLimit);
    const lengthMs = nowMs - this.#startMs;
    return {
      lengthMs,
      samples: this.#samples + this.#failed,
      paceRatio: computeMedian(this.#ratios),
      errorShare: this.#finished === 0 ? 0 : this.#failed / this.#finished,
      atLimitShare: lengthMs <= 0 ? 0 : this.#atLimitMs / lengthMs,
      waiting: this.#waiting,
    };
  }
}
