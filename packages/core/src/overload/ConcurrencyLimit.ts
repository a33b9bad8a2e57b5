import { computeToleranceFactor } from '../ramp/computeToleranceFactor.js';
import { serviceTimeLimits } from '../ramp/serviceTimeLimits.js';
import type { UsageSummary } from '../ramp/UsageSummary.js';
import { ConcurrencyGradient } from './ConcurrencyGradient.js';

/** Growth from 1 to the ceiling takes this many windows, independent of the ceiling. */
const WINDOWS_TO_FULL = 64;
/** A limit that was used less than this says nothing about a higher one. */
const MIN_UTILIZATION = 0.5;
const MAX_ERROR_SHARE = 0.1;
const ERROR_SHRINK_FACTOR = 0.7;
const MIN_SLOW_SHRINK_FACTOR = 0.5;
/**
 * Within this distance of the last saturated limit the steps are smaller, to avoid overshooting.
 */
const NEAR_SATURATED_SHARE = 0.1;
const NEAR_SATURATED_STEP_FACTOR = 0.25;
/**
 * Without a recent measurement at a lower concurrency, the limit is lowered once by this factor to
 * get one. Otherwise a limit that has long been above the best concurrency would stay there.
 */
const PROBE_FACTOR = 0.7;
/** Probes are rare because each costs a few seconds below the best concurrency. */
const PROBE_INTERVAL_MS = 30_000;
/** Below this limit, noise exceeds the difference that a probe could show. */
const MIN_PROBED_LIMIT = 8;
/**
 * The gradient is noisy near the best concurrency, so one step shrinks the limit by at most 10%.
 */
const MIN_GRADIENT_FACTOR = 0.9;

/**
 * Adapts the concurrency limit of a warm target to the gradient of its throughput (additive
 * increase, multiplicative decrease). While more concurrency raises the throughput, the limit grows
 * by a fixed amount. Otherwise, or when the target is slow or fails, it shrinks in proportion.
 */
export class ConcurrencyLimit {
  #ceiling: number;

  #limit: number;

  /** Limit at which the gradient last fell below 1. */
  #saturatedLimit = Infinity;

  #lastProbeMs = -Infinity;

  readonly #gradient = new ConcurrencyGradient();

  /** @param ceiling `max_in_flight` of the document, also the initial limit */
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

  /** Returns the usual ratio of the service time to the warm value at this concurrency. */
  getExpectedRatio(concurrency: number): number {
    return this.#gradient.getServiceTimeRatio(concurrency);
  }

  /** Rescales the measurements to a changed warm value. @param factor new value / old value */
  scale(factor: number): void {
    this.#gradient.scale(factor);
  }

  /**
   * Raises the limit to the ceiling and drops all measurements; the ramp then limits the target.
   */
  reset(): void {
    this.#limit = this.#ceiling;
    this.#gradient.clear();
    this.#saturatedLimit = Infinity;
  }

  /** Lowers the limit to at most `limit`, a concurrency that the target can handle. */
  lower(limit: number): void {
    this.#limit = Math.max(1, Math.min(this.#limit, limit));
  }

  /** Records a window in which another, lower limit applied, without changing this limit. */
  observe(nowMs: number, usage: UsageSummary): void {
    if (usage.serviceTimeRatio === null) return;
    this.#gradient.record(nowMs, usage, usage.serviceTimeRatio);
  }

  /**
   * Records a window and changes the limit accordingly.
   *
   * @param granted concurrency limit that was active in the window
   */
  advance(nowMs: number, usage: UsageSummary, granted: number): 'grew' | 'held' | 'shrank' {
    if (usage.errorShare >= MAX_ERROR_SHARE) {
      this.lower(granted * ERROR_SHRINK_FACTOR);
      return 'shrank';
    }
    if (usage.serviceTimeRatio === null) return 'held';
    this.observe(nowMs, usage);
    const slowness =
      (serviceTimeLimits.slow / usage.serviceTimeRatio) *
      computeToleranceFactor(usage.samples, usage.serviceTimeSpread);
    if (slowness < 1) {
      this.lower(granted * Math.max(MIN_SLOW_SHRINK_FACTOR, slowness));
      return 'shrank';
    }
    const gradient = this.#gradient.computeGradient(usage.meanInFlight);
    if (gradient < 1) {
      this.#saturatedLimit = granted;
      this.lower(granted * Math.max(MIN_GRADIENT_FACTOR, gradient));
      return 'shrank';
    }
    if (!usage.hasReachedLimit || usage.meanUtilization < MIN_UTILIZATION) return 'held';
    const isProbeDue =
      granted >= MIN_PROBED_LIMIT && nowMs - this.#lastProbeMs >= PROBE_INTERVAL_MS;
    if (isProbeDue && !this.#gradient.hasLowerMeasurement(usage.meanInFlight)) {
      this.#lastProbeMs = nowMs;
      this.lower(granted * PROBE_FACTOR);
      return 'shrank';
    }
    if (this.#limit >= this.#ceiling) return 'held';
    const isNearSaturated =
      Math.abs(this.#limit / this.#saturatedLimit - 1) <= NEAR_SATURATED_SHARE;
    const step =
      Math.max(1, this.#ceiling / WINDOWS_TO_FULL) *
      (isNearSaturated ? NEAR_SATURATED_STEP_FACTOR : 1);
    this.#limit = Math.min(this.#ceiling, this.#limit + step);
    return 'grew';
  }
}
