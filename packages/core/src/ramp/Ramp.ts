import { paceLimits } from './paceLimits.js';
import type { RampSettings } from './RampSettings.js';
import type { UsageSummary } from './UsageSummary.js';

/** Share of an interval at the limit from which the interval says something about the limit. */
const USED_SHARE = 0.25;
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
  }

  /** Decides at the end of a full interval. */
  advance(usage: UsageSummary): 'grew' | 'held' | 'shrank' {
    if (usage.lengthMs < this.#settings.intervalMs) return 'held';
    const slow = usage.paceRatio !== null && usage.paceRatio > paceLimits.slow;
    if (slow || usage.errorShare >= FAILING_SHARE) {
      const floor = Math.min(this.#settings.start, this.#full);
      this.#limit = Math.max(floor, this.#limit * SHRINK_FACTOR);
      return 'shrank';
    }
    if (usage.atLimitShare < USED_SHARE || usage.errorShare >= CLEAN_SHARE) return 'held';
    if (usage.paceRatio === null || usage.paceRatio > paceLimits.near) return 'held';
    if (usage.paceRatio < paceLimits.improving) return 'held';
    if (usage.waiting > Math.max(1, this.#limit * WAITING_SHARE)) return 'held';
    this.#provenLimit = this.#limit;
    if (this.isFull()) return 'held';
    this.#limit = Math.min(this.#full, this.#limit * this.#settings.growth);
    return 'grew';
  }
}
