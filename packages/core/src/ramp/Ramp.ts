import { computeToleranceFactor } from './computeToleranceFactor.js';
import { serviceTimeLimits } from './serviceTimeLimits.js';
import type { RampSettings } from './RampSettings.js';
import type { UsageSummary } from './UsageSummary.js';

/** An interval tests the limit only if it reached it and used at least this share on average. */
const MIN_UTILIZATION = 0.5;
/**
 * Factors by which the service time may grow from the last good limit to the current one before
 * the limit is held or lowered. Raising the limit by the factor 1.5 beyond the concurrency that a
 * target can use lengthens service times by 1.5 or more, because throughput stays equal or falls.
 */
const HOLD_SLOWDOWN_FACTOR = 1.3;
const SHRINK_SLOWDOWN_FACTOR = 1.5;
/** Growth stops from this error share on; a single failure in a large window is below it. */
const MAX_GROWTH_ERROR_SHARE = 0.01;
const SHRINK_ERROR_SHARE = 0.1;
const SHRINK_FACTOR = 0.5;
/** Requests waiting inside the target, as a share of the limit, up to which the limit may grow. */
const MAX_WAITING_SHARE = 0.1;

/**
 * Slow start: the concurrency limit of a target since it became cold. Time alone never raises it:
 * each increase requires a full interval in which the target was used up to its limit, with few
 * errors and no slow answers.
 */
export class Ramp {
  #settings: RampSettings;

  #fullLimit: number;

  /** Fractional, so that small limits also grow by the exact factor. */
  #limit: number;

  /** Last limit that passed a full interval with few errors, no slow answers and no queueing. */
  #lastGoodLimit: number;

  /** Service time at that limit relative to the warm value; null before the first such interval. */
  #lastGoodRatio: number | null = null;

  /** @param fullLimit limit of a warm target: `max_in_flight` of the document */
  constructor(settings: RampSettings, fullLimit: number) {
    this.#settings = settings;
    this.#fullLimit = fullLimit;
    this.#limit = Math.min(settings.start, fullLimit);
    this.#lastGoodLimit = this.#limit;
  }

  /** Applies changed settings; the current limit is kept, but lowered to the new ceiling. */
  setSettings(settings: RampSettings, fullLimit: number): void {
    const wasFull = this.isFull();
    const isRaised = fullLimit > this.#fullLimit;
    this.#settings = settings;
    this.#fullLimit = fullLimit;
    if (!wasFull || !isRaised) this.#limit = Math.min(this.#limit, fullLimit);
  }

  getLimit(): number {
    return Math.floor(this.#limit);
  }

  getLastGoodLimit(): number {
    return Math.floor(this.#lastGoodLimit);
  }

  /** Returns the service time ratio at the last good limit; 1 while unknown. */
  getLastGoodRatio(): number {
    return this.#lastGoodRatio ?? 1;
  }

  getIntervalMs(): number {
    return this.#settings.intervalMs;
  }

  isFull(): boolean {
    return this.#limit >= this.#fullLimit;
  }

  isAtStart(): boolean {
    return this.#limit <= this.#settings.start;
  }

  /** Returns to the initial limit after the target became cold. */
  restart(): void {
    this.#limit = Math.min(this.#settings.start, this.#fullLimit);
    this.#lastGoodLimit = this.#limit;
    this.#lastGoodRatio = null;
  }

  /** Changes the limit according to a window of at least one full interval. */
  advance(usage: UsageSummary): 'grew' | 'held' | 'shrank' {
    const ratio = usage.serviceTimeRatio;
    const slowdown =
      ratio === null || this.#lastGoodRatio === null ? 1 : ratio / this.#lastGoodRatio;
    const hasGrown = this.#limit > this.#lastGoodLimit;
    const slack = computeToleranceFactor(usage.samples, usage.serviceTimeSpread);
    const isSlow = ratio !== null && ratio > serviceTimeLimits.slow * slack;
    if (
      isSlow ||
      (hasGrown && slowdown > SHRINK_SLOWDOWN_FACTOR * slack ** 2) ||
      usage.errorShare >= SHRINK_ERROR_SHARE
    ) {
      const minLimit = Math.min(this.#settings.start, this.#fullLimit);
      // Return to the last good limit, or to half if the current limit is that one.
      const reducedLimit = hasGrown ? this.#lastGoodLimit : this.#limit * SHRINK_FACTOR;
      this.#limit = Math.max(minLimit, reducedLimit);
      this.#lastGoodLimit = Math.min(this.#lastGoodLimit, this.#limit);
      return 'shrank';
    }
    if (!usage.isRepresentative) return 'held';
    if (!usage.hasReachedLimit || usage.meanUtilization < MIN_UTILIZATION) return 'held';
    if (usage.errorShare >= MAX_GROWTH_ERROR_SHARE) return 'held';
    if (ratio === null || ratio > serviceTimeLimits.near * slack) return 'held';
    if (ratio < serviceTimeLimits.improving / slack) return 'held';
    if (hasGrown && slowdown > HOLD_SLOWDOWN_FACTOR * slack ** 2) return 'held';
    if (usage.maxWaiting > Math.max(1, this.#limit * MAX_WAITING_SHARE)) return 'held';
    this.#lastGoodLimit = this.#limit;
    this.#lastGoodRatio = ratio;
    if (this.isFull()) return 'held';
    this.#limit = Math.min(this.#fullLimit, this.#limit * this.#settings.growth);
    return 'grew';
  }
}
