import { computeMedian } from './computeMedian.js';
import { computeToleranceFactor } from './computeToleranceFactor.js';
import { serviceTimeLimits } from './serviceTimeLimits.js';

/** Requests of a similar length, or the step times. */
interface RequestClass {
  warmMs: number | null;
  /** Samples behind the warm value, up to `STABLE_SAMPLES`. */
  samples: number;
  /** Times of the current window, milliseconds. */
  window: number[];
}

/** A service has few routes and cost bands; samples of further classes are ignored. */
const MAX_CLASSES = 64;
const MAX_WINDOW_SAMPLES = 64;
/**
 * One slow request must not restart a ramp: the median of nine requires five slow ones. With three
 * of five, a target with exponential service times would restart about once an hour by chance.
 */
const RECENT_SAMPLES = 9;
/**
 * Samples after which the warm value changes only slowly. Before that it is the mean of the
 * window medians: following only the faster windows would end at the fastest outlier.
 */
const STABLE_SAMPLES = 64;
/**
 * A faster window replaces the warm value only with this many samples, not after one short request.
 */
const MIN_IMPROVED_SAMPLES = 8;
/** A slower window at light load has less weight, so that a gradual slowdown is still detected. */
const RISE_WEIGHT_FACTOR = 0.2;
/** Steady slow windows after which their time becomes the warm value, as after a model change. */
const REPLACE_AFTER_WINDOWS = 30;

/**
 * Maintains the warm service time (or step time) of a target by class of request and compares
 * samples with it. The warm values are kept when the engine restarts, so that a cold engine is
 * compared with its warm predecessor.
 */
export class ServiceTimeBaseline {
  readonly #classes = new Map<string, RequestClass>();

  #ratios: number[] = [];

  #steadyWindows = 0;

  #lastRatio: number | null = null;

  /** Sets the warm value of a class, for example to that of other targets of the service. */
  setWarmMs(name: string, timeMs: number): void {
    const requestClass = this.#getClass(name);
    requestClass.warmMs = timeMs;
    requestClass.samples = STABLE_SAMPLES;
  }

  getWarmMs(name: string): number | null {
    return this.#classes.get(name)?.warmMs ?? null;
  }

  /** Records a sample. @returns its ratio to the warm value, or null while that is unknown */
  record(name: string, timeMs: number): number | null {
    if (!this.#classes.has(name) && this.#classes.size >= MAX_CLASSES) return null;
    const requestClass = this.#getClass(name);
    if (requestClass.window.length < MAX_WINDOW_SAMPLES) requestClass.window.push(timeMs);
    if (requestClass.warmMs === null || requestClass.warmMs <= 0) return null;
    const ratio = timeMs / requestClass.warmMs;
    this.#ratios.push(ratio);
    if (this.#ratios.length > RECENT_SAMPLES) this.#ratios.shift();
    return ratio;
  }

  /**
   * Returns whether the latest samples are several times the warm value.
   *
   * @param usualRatio usual ratio to the warm value at the current concurrency; without it an
   *   overloaded target would be taken for a cold one
   */
  isCold(usualRatio: number): boolean {
    if (this.#ratios.length < RECENT_SAMPLES) return false;
    return (computeMedian(this.#ratios) ?? 0) >= serviceTimeLimits.cold * Math.max(1, usualRatio);
  }

  /** Removes recent samples, which are invalid after a restart of the target. */
  clearRecent(): void {
    this.#ratios = [];
    this.#steadyWindows = 0;
    this.#lastRatio = null;
    for (const requestClass of this.#classes.values()) requestClass.window = [];
  }

  /**
   * Updates the warm values from the samples of the current window and starts a new one.
   *
   * @param ratio median of the ratios to the warm values in the window
   * @param isLoaded whether the load may explain a slower time
   * @param hasErrors whether requests failed
   * @returns median factor by which the warm values of the sampled classes changed
   */
  closeWindow(ratio: number | null, isLoaded: boolean, hasErrors: boolean): number {
    const factors: number[] = [];
    const isReplaced = this.#trackSteadyWindows(ratio, hasErrors);
    for (const requestClass of this.#classes.values()) {
      const median = computeMedian(requestClass.window);
      if (median === null) continue;
      const samples = requestClass.window.length;
      requestClass.window = [];
      const oldMs = requestClass.warmMs;
      const improvedBelowMs =
        (serviceTimeLimits.improving / computeToleranceFactor(samples)) * (oldMs ?? Infinity);
      const isImproved = samples >= MIN_IMPROVED_SAMPLES && median < improvedBelowMs;
      if (oldMs === null || isReplaced || isImproved) {
        requestClass.warmMs = median;
        requestClass.samples = samples;
      } else {
        const isStable = requestClass.samples >= STABLE_SAMPLES;
        const isSlower = median > oldMs;
        if (isStable && isSlower && (isLoaded || median > serviceTimeLimits.near * oldMs)) continue;
        requestClass.samples = Math.min(STABLE_SAMPLES, requestClass.samples + samples);
        const weight = samples / (requestClass.samples + (isStable ? samples : 0));
        const factor = isStable && isSlower ? RISE_WEIGHT_FACTOR : 1;
        requestClass.warmMs = oldMs + factor * weight * (median - oldMs);
      }
      if (oldMs !== null) factors.push(requestClass.warmMs / oldMs);
    }
    return computeMedian(factors) ?? 1;
  }

  /** Counts steady slow windows. @returns whether the current times replace the warm values */
  #trackSteadyWindows(ratio: number | null, hasErrors: boolean): boolean {
    const lastRatio = this.#lastRatio;
    this.#lastRatio = ratio;
    if (ratio === null || lastRatio === null || hasErrors || ratio <= serviceTimeLimits.near) {
      this.#steadyWindows = 0;
      return false;
    }
    const change = ratio / lastRatio;
    if (change < serviceTimeLimits.improving || change > 1 / serviceTimeLimits.improving) {
      this.#steadyWindows = 0;
      return false;
    }
    this.#steadyWindows += 1;
    if (this.#steadyWindows < REPLACE_AFTER_WINDOWS) return false;
    this.#steadyWindows = 0;
    this.#ratios = [];
    return true;
  }

  #getClass(name: string): RequestClass {
    const existing = this.#classes.get(name);
    if (existing !== undefined) return existing;
    const created: RequestClass = { warmMs: null, samples: 0, window: [] };
    this.#classes.set(name, created);
    return created;
  }
}
