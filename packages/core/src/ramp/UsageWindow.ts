import { computeMedian } from './computeMedian.js';
import type { UsageSummary } from './UsageSummary.js';

/** Enough for a median; keeps a window of a busy target small. */
const MAX_RATIOS = 128;
const ENOUGH_STEPS = 3;

function computeSpread(ratios: readonly number[], median: number): number {
  let sum = 0;
  for (const ratio of ratios) sum += Math.abs(ratio - median);
  return ratios.length === 0 ? 0 : sum / ratios.length / median;
}

/** Collects what happened since the last decision about a limit. */
export class UsageWindow {
  #startMs: number;

  #updatedMs: number;

  #useMs = 0;

  #inFlightMs = 0;

  #use = 0;

  #inFlight = 0;

  #reachedLimit = false;

  #finished = 0;

  #failed = 0;

  #samples = 0;

  #skipped = 0;

  #steps = 0;

  #waiting = 0;

  #ratios: number[] = [];

  constructor(nowMs: number) {
    this.#startMs = nowMs;
    this.#updatedMs = nowMs;
  }

  /**
   * Begins a new window; the present use carries over.
   *
   * @param skipped finished requests to leave out first: after a change of the limit, about as
   *   many as are in flight belong to the old one. Leaving out requests by their start instead
   *   would keep the short ones only.
   */
  reset(nowMs: number, skipped = 0): void {
    this.#skipped = skipped;
    this.#integrate(nowMs);
    this.#startMs = nowMs;
    this.#useMs = 0;
    this.#inFlightMs = 0;
    this.#reachedLimit = this.#use >= 1;
    this.#finished = 0;
    this.#failed = 0;
    this.#samples = 0;
    this.#steps = 0;
    this.#waiting = 0;
    this.#ratios = [];
  }

  /** Records what is in flight and granted from now on. */
  setUse(nowMs: number, inFlight: number, limit: number): void {
    this.#integrate(nowMs);
    this.#inFlight = inFlight;
    this.#use = Math.min(1, inFlight / Math.max(1, limit));
    if (this.#use >= 1) this.#reachedLimit = true;
  }

  /** @returns whether the request counts */
  recordFinish(error: boolean): boolean {
    if (this.#skipped > 0 && !error) {
      this.#skipped -= 1;
      return false;
    }
    this.#finished += 1;
    if (error) this.#failed += 1;
    return true;
  }

  /**
   * @param ratio pace over warm pace; null when no warm value is known yet
   * @param isStep whether it is a step time, which does not depend on the length of a request
   */
  recordPace(ratio: number | null, isStep: boolean): void {
    this.#samples += 1;
    if (isStep) this.#steps += 1;
    if (ratio === null) return;
    if (this.#ratios.length < MAX_RATIOS) this.#ratios.push(ratio);
    else this.#ratios[this.#samples % MAX_RATIOS] = ratio;
  }

  recordWaiting(waiting: number): void {
    if (waiting > this.#waiting) this.#waiting = waiting;
  }

  getSamples(): number {
    return this.#samples + this.#failed;
  }

  getLength(nowMs: number): number {
    return nowMs - this.#startMs;
  }

  /** @param slowRatios pace so far of unfinished requests that are slow already */
  describe(nowMs: number, slowRatios: readonly number[] = []): UsageSummary {
    this.#integrate(nowMs);
    const lengthMs = nowMs - this.#startMs;
    const meanInFlight = lengthMs <= 0 ? 0 : this.#inFlightMs / lengthMs;
    const ratios = [...this.#ratios, ...slowRatios];
    const paceRatio = computeMedian(ratios);
    return {
      lengthMs,
      samples: this.getSamples() + slowRatios.length,
      complete: this.#steps >= ENOUGH_STEPS || this.#finished >= meanInFlight,
      paceRatio,
      paceSpread: computeSpread(ratios, paceRatio ?? 1),
      errorShare: this.#finished === 0 ? 0 : this.#failed / this.#finished,
      meanInFlight,
      reachedLimit: this.#reachedLimit,
      meanUse: lengthMs <= 0 ? 0 : this.#useMs / lengthMs,
      waiting: this.#waiting,
    };
  }

  #integrate(nowMs: number): void {
    const elapsedMs = nowMs - this.#updatedMs;
    this.#useMs += this.#use * elapsedMs;
    this.#inFlightMs += this.#inFlight * elapsedMs;
    this.#updatedMs = nowMs;
  }
}
