import { computeSlack } from '../ramp/computeSlack.js';
import { paceLimits } from '../ramp/paceLimits.js';
import type { UsageSummary } from '../ramp/UsageSummary.js';
import { ConcurrencyGradient } from './ConcurrencyGradient.js';

/** The ceiling is reached from the floor in this many windows, whatever its size. */
const WINDOWS_TO_FULL = 64;
const USED_SHARE = 0.5;
const FAILING_SHARE = 0.1;
const FAILING_FACTOR = 0.7;
const LOWEST_FACTOR = 0.5;

/**
 * Adapts the concurrency of a warm target to the gradient of its service time: while more
 * concurrency raises the throughput the limit grows by a fixed amount, otherwise, and when the
 * target is slow as a whole or fails, it shrinks in proportion.
 */
export class ConcurrencyLimit {
  #ceiling: number;

  #limit: number;

  readonly #gradient = new ConcurrencyGradient();

  /** @param ceiling the document's `max_in_flight`, also the first limit */
  constructor(ceiling: number) {
    this.#ceiling = ceiling;
    this.#limit = ceiling;
  }

  setCeiling(ceiling: number): void {
    if (this.#limit >= this.#ceiling) this.#limit = ceiling;
    this.#ceiling = ceiling;
    this.#limit = Math.min(this.#limit, ceiling);
  }

  getLimit(): number {
    return Math.max(1, Math.floor(this.#limit));
  }

  /** Lifts the limit; the ramp protects the target from here. */
  reset(): void {
    this.#limit = this.#ceiling;
    this.#gradient.clear();
  }

  /** Lowers the limit to a level at which the target is known to do well. */
  lower(limit: number): void {
    this.#limit = Math.max(1, Math.min(this.#limit, limit));
  }

  /**
   * Decides at the end of a window.
   *
   * @param granted concurrency that was in force in the window
   */
  advance(usage: UsageSummary, granted: number): 'grew' | 'held' | 'shrank' {
    if (usage.errorShare >= FAILING_SHARE) {
      this.lower(granted * FAILING_FACTOR);
      return 'shrank';
    }
    const ratio = usage.paceRatio;
    if (ratio === null) return 'held';
    const slack = computeSlack(usage.samples);
    const slowness = paceLimits.slow / ratio;
    const gain = this.#gradient.compute(usage.meanInFlight, ratio) ?? 1;
    this.#gradient.record(usage.meanInFlight, ratio, usage.samples);
    const gradient = Math.min(slowness, gain) * slack;
    if (gradient < 1) {
      this.lower(granted * Math.max(LOWEST_FACTOR, gradient));
      return 'shrank';
    }
    if (!usage.reachedLimit || usage.meanUse < USED_SHARE) return 'held';
    if (this.#limit >= this.#ceiling) return 'held';
    const step = Math.max(1, this.#ceiling / WINDOWS_TO_FULL);
    this.#limit = Math.min(this.#ceiling, this.#limit + step);
    return 'grew';
  }
}
