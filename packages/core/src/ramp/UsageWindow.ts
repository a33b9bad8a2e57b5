import { computeMedian } from './computeMedian.js';
import type { UsageSummary } from './UsageSummary.js';

/** Enough samples for a median; bounds the memory of a window of a busy target. */
const MAX_RATIOS = 128;
/** Step times do not depend on the length of requests, so that a few represent the window. */
const MIN_STEP_SAMPLES = 3;

/** Returns the mean absolute deviation from the median, relative to the median. */
function computeSpread(ratios: readonly number[], median: number): number {
  let sum = 0;
  for (const ratio of ratios) sum += Math.abs(ratio - median);
  return ratios.length === 0 ? 0 : sum / ratios.length / median;
}

/** Collects measurements of a target since the last decision on its concurrency limit. */
export class UsageWindow {
  #startMs: number;

  #updatedMs: number;

  #utilizationMs = 0;

  #inFlightMs = 0;

  #utilization = 0;

  #inFlight = 0;

  #reachedLimit = false;

  #finished = 0;

  #failed = 0;

  #samples = 0;

  #skippedLeft = 0;

  #stepSamples = 0;

  #maxWaiting = 0;

  #ratios: number[] = [];

  constructor(nowMs: number) {
    this.#startMs = nowMs;
    this.#updatedMs = nowMs;
  }

  /**
   * Starts a new window; the current number of requests in flight carries over.
   *
   * @param skipped number of finished requests to ignore first: after a change of the limit, about
   *   as many as are in flight ran under the old one. Ignoring requests by their start time
   *   instead would count only the short ones.
   */
  reset(nowMs: number, skipped = 0): void {
    this.#skippedLeft = skipped;
    this.#advanceIntegrals(nowMs);
    this.#startMs = nowMs;
    this.#utilizationMs = 0;
    this.#inFlightMs = 0;
    this.#reachedLimit = this.#utilization >= 1;
    this.#finished = 0;
    this.#failed = 0;
    this.#samples = 0;
    this.#stepSamples = 0;
    this.#maxWaiting = 0;
    this.#ratios = [];
  }

  /** Records the number of requests in flight and the limit, both from `nowMs` on. */
  recordInFlight(nowMs: number, inFlight: number, limit: number): void {
    this.#advanceIntegrals(nowMs);
    this.#inFlight = inFlight;
    this.#utilization = Math.min(1, inFlight / Math.max(1, limit));
    if (this.#utilization >= 1) this.#reachedLimit = true;
  }

  /** Records a finished request. @returns whether it counts; failures always do */
  recordFinish(hasFailed: boolean): boolean {
    if (this.#skippedLeft > 0 && !hasFailed) {
      this.#skippedLeft -= 1;
      return false;
    }
    this.#finished += 1;
    if (hasFailed) this.#failed += 1;
    return true;
  }

  /**
   * Records a time sample.
   *
   * @param ratio ratio of the service or step time to its warm value; null while that is unknown
   * @param isStep whether the sample is a step time, which does not depend on the request length
   */
  recordServiceTime(ratio: number | null, isStep: boolean): void {
    this.#samples += 1;
    if (isStep) this.#stepSamples += 1;
    if (ratio === null) return;
    if (this.#ratios.length < MAX_RATIOS) this.#ratios.push(ratio);
    else this.#ratios[this.#samples % MAX_RATIOS] = ratio;
  }

  /** Records the number of requests that wait inside the target. */
  recordWaiting(waiting: number): void {
    if (waiting > this.#maxWaiting) this.#maxWaiting = waiting;
  }

  /** Returns the number of time samples and failures. */
  countSamples(): number {
    return this.#samples + this.#failed;
  }

  /** Returns the duration of the window so far, milliseconds. */
  getLengthMs(nowMs: number): number {
    return nowMs - this.#startMs;
  }

  /**
   * @param slowRatios ratios to the warm value so far of requests in progress that are already slow
   */
  computeSummary(nowMs: number, slowRatios: readonly number[] = []): UsageSummary {
    this.#advanceIntegrals(nowMs);
    const lengthMs = nowMs - this.#startMs;
    const meanInFlight = lengthMs <= 0 ? 0 : this.#inFlightMs / lengthMs;
    const ratios = [...this.#ratios, ...slowRatios];
    const serviceTimeRatio = computeMedian(ratios);
    return {
      lengthMs,
      samples: this.countSamples() + slowRatios.length,
      isRepresentative: this.#stepSamples >= MIN_STEP_SAMPLES || this.#finished >= meanInFlight,
      serviceTimeRatio,
      serviceTimeSpread: computeSpread(ratios, serviceTimeRatio ?? 1),
      errorShare: this.#finished === 0 ? 0 : this.#failed / this.#finished,
      meanInFlight,
      hasReachedLimit: this.#reachedLimit,
      meanUtilization: lengthMs <= 0 ? 0 : this.#utilizationMs / lengthMs,
      maxWaiting: this.#maxWaiting,
    };
  }

  /** Adds the time since the last update to the integrals of use and requests in flight. */
  #advanceIntegrals(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedMs;
    this.#utilizationMs += this.#utilization * elapsedMs;
    this.#inFlightMs += this.#inFlight * elapsedMs;
    this.#updatedMs = nowMs;
  }
}
