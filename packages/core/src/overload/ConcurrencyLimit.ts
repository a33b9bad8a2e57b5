import { computeSlack } from '../ramp/computeSlack.js';
import { paceLimits } from '../ramp/paceLimits.js';
import type { UsageSummary } from '../ramp/UsageSummary.js';
import { ConcurrencyGradient } from './ConcurrencyGradient.js';

/** The ceiling is reached from the floor in this many windows, whatever its size. */
const WINDOWS_TO_FULL = 64;
const USED_SHARE = 0.5;
const FAILING_SHARE = 0.1;
const FAILING_FACTOR = 0.7;
const SLOW_FACTOR = 0.5;
/** Around the last saturated limit the steps are smaller, so that it is not overrun again. */
const NEAR_SATURATED = 0.1;
const NEAR_STEP = 0.25;
/**
 * Without a recent measurement at a lower concurrency the limit goes there once: a limit that was
 * past the best concurrency for long would otherwise stay there.
 */
const PROBE_FACTOR = 0.7;
/** A probe costs a few seconds below the best concurrency. */
const PROBE_INTERVAL_MS = 30_000;
/** Below this the noise hides what a probe could show. */
const PROBE_FLOOR = 8;
/** The gradient is noisy near the best concurrency; small steps keep the limit close to it. */
const GRADIENT_FACTOR = 0.9;

/**
 * Adapts the concurrency of a warm target to the gradient of its service time: while more
 * concurrency raises the throughput the limit grows by a fixed amount, otherwise, and when the
 * target is slow as a whole or fails, it shrinks in proportion.
 */
export class ConcurrencyLimit {
  #ceiling: number;

  #limit: number;

  /** Limit at which the gradient last fell below 1. */
  #saturated = Infinity;

  #probedMs = -Infinity;

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

  /** Returns the pace ratio that is normal at this concurrency. */
  getExpectedRatio(concurrency: number): number {
    return this.#gradient.getRatio(concurrency);
  }

  /** Adjusts what is known to a changed warm value. @param factor new value over the old one */
  scale(factor: number): void {
    this.#gradient.scale(factor);
  }

  /** Lifts the limit; the ramp protects the target from here. */
  reset(): void {
    this.#limit = this.#ceiling;
    this.#gradient.clear();
    this.#saturated = Infinity;
  }

  /** Lowers the limit to a level at which the target is known to do well. */
  lower(limit: number): void {
    this.#limit = Math.max(1, Math.min(this.#limit, limit));
  }

  /** Learns from a window in which another limit was the lower one. */
  observe(nowMs: number, usage: UsageSummary): void {
    if (usage.paceRatio === null) return;
    this.#gradient.record(nowMs, usage, usage.paceRatio);
  }

  /**
   * Decides at the end of a window.
   *
   * @param granted concurrency that was in force in the window
   */
  advance(nowMs: number, usage: UsageSummary, granted: number): 'grew' | 'held' | 'shrank' {
    if (usage.errorShare >= FAILING_SHARE) {
      this.lower(granted * FAILING_FACTOR);
      return 'shrank';
    }
    if (usage.paceRatio === null) return 'held';
    this.observe(nowMs, usage);
    const slowness =
      (paceLimits.slow / usage.paceRatio) * computeSlack(usage.samples, usage.paceSpread);
    if (slowness < 1) {
      this.lower(granted * Math.max(SLOW_FACTOR, slowness));
      return 'shrank';
    }
    const gradient = this.#gradient.compute(usage.meanInFlight);
    if (gradient < 1) {
      this.#saturated = granted;
      this.lower(granted * Math.max(GRADIENT_FACTOR, gradient));
      return 'shrank';
    }
    if (!usage.reachedLimit || usage.meanUse < USED_SHARE) return 'held';
    const due = granted >= PROBE_FLOOR && nowMs - this.#probedMs >= PROBE_INTERVAL_MS;
    if (due && !this.#gradient.hasNear(usage.meanInFlight)) {
      this.#probedMs = nowMs;
      this.lower(granted * PROBE_FACTOR);
      return 'shrank';
    }
    if (this.#limit >= this.#ceiling) return 'held';
    const near = Math.abs(this.#limit / this.#saturated - 1) <= NEAR_SATURATED;
    const step = Math.max(1, this.#ceiling / WINDOWS_TO_FULL) * (near ? NEAR_STEP : 1);
    this.#limit = Math.min(this.#ceiling, this.#limit + step);
    return 'grew';
  }
}
