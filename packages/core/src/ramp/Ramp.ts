import { computeSlack } from './computeSlack.js';
import { paceLimits } from './paceLimits.js';
import type { RampSettings } from './RampSettings.js';
import type { UsageSummary } from './UsageSummary.js';

/** Mean use from which an interval that reached the limit says something about the limit. */
const USED_SHARE = 0.5;
/**
 * Worsening of the pace from one proven grant to the next. Growing by the factor 1.5 past the
 * concurrency that a target can use worsens the pace by 1.5 or more, as throughput stays or falls.
 */
const WORSE_HOLD = 1.3;
const WORSE_SHRINK = 1.5;
/** A single failure in a large window does not stop the growth. */
const CLEAN_SHARE = 0.01;
const FAILING_SHARE = 0.1;
const SHRINK_FACTOR = 0.5;
/** Requests waiting inside the target, as a share of the grant, that still count as short. */
const WAITING_SHARE = 0.1;

/**
 * The concurrency granted to a target since it turned cold. Time alone never raises it: each
 * growth needs a full interval in which the target was used at its limit and did well.
 */
export class Ramp {
  #settings: RampSettings;

  #full: number;

  /** Fractional, so that small grants also grow by the exact factor. */
  #limit: number;

  /** Last grant at which an interval went well. */
  #provenLimit: number;

  /** Pace ratio at that grant; null before the first. */
  #provenRatio: number | null = null;

  /** @param full grant of a warm target, the document's `max_in_flight` */
  constructor(settings: RampSettings, full: number) {
    this.#settings = settings;
    this.#full = full;
    this.#limit = Math.min(settings.start, full);
    this.#provenLimit = this.#limit;
  }

  /** Takes over changed settings; the present grant stays, within the new ceiling. */
  setSettings(settings: RampSettings, full: number): void {
    const wasFull = this.isFull();
    const raised = full > this.#full;
    this.#settings = settings;
    this.#full = full;
    if (!wasFull || !raised) this.#limit = Math.min(this.#limit, full);
  }

  getLimit(): number {
    return Math.floor(this.#limit);
  }

  getProvenLimit(): number {
    return Math.floor(this.#provenLimit);
  }

  /** Returns the pace ratio at the proven limit, 1 before one is known. */
  getProvenRatio(): number {
    return this.#provenRatio ?? 1;
  }

  getIntervalMs(): number {
    return this.#settings.intervalMs;
  }

  isFull(): boolean {
    return this.#limit >= this.#full;
  }

  isAtStart(): boolean {
    return this.#limit <= this.#settings.start;
  }

  restart(): void {
    this.#limit = Math.min(this.#settings.start, this.#full);
    this.#provenLimit = this.#limit;
    this.#provenRatio = null;
  }

  /** Decides about a window that lasted at least a full interval. */
  advance(usage: UsageSummary): 'grew' | 'held' | 'shrank' {
    const ratio = usage.paceRatio;
    const worse = ratio === null || this.#provenRatio === null ? 1 : ratio / this.#provenRatio;
    const grown = this.#limit > this.#provenLimit;
    const slack = computeSlack(usage.samples, usage.paceSpread);
    const slow = ratio !== null && ratio > paceLimits.slow * slack;
    if (slow || (grown && worse > WORSE_SHRINK * slack ** 2) || usage.errorShare >= FAILING_SHARE) {
      const floor = Math.min(this.#settings.start, this.#full);
      // Back to the last grant that did well, or to half if that one is at fault.
      const target = grown ? this.#provenLimit : this.#limit * SHRINK_FACTOR;
      this.#limit = Math.max(floor, target);
      this.#provenLimit = Math.min(this.#provenLimit, this.#limit);
      return 'shrank';
    }
    if (!usage.complete) return 'held';
    if (!usage.reachedLimit || usage.meanUse < USED_SHARE) return 'held';
    if (usage.errorShare >= CLEAN_SHARE) return 'held';
    if (ratio === null || ratio > paceLimits.near * slack) return 'held';
    if (ratio < paceLimits.improving / slack) return 'held';
    if (grown && worse > WORSE_HOLD * slack ** 2) return 'held';
    if (usage.waiting > Math.max(1, this.#limit * WAITING_SHARE)) return 'held';
    this.#provenLimit = this.#limit;
    this.#provenRatio = ratio;
    if (this.isFull()) return 'held';
    this.#limit = Math.min(this.#full, this.#limit * this.#settings.growth);
    return 'grew';
  }
}
