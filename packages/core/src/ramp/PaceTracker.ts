import { computeMedian } from './computeMedian.js';
import { computeSlack } from './computeSlack.js';
import { paceLimits } from './paceLimits.js';

interface PaceClass {
  warmMs: number | null;
  /** Samples behind the warm value, up to `SETTLED_SAMPLES`. */
  seen: number;
  window: number[];
}

/** A service has few routes and cost bands; more classes than this are not compared. */
const MAX_CLASSES = 64;
const MAX_WINDOW = 64;
/**
 * One slow request must not restart a ramp; the median of nine needs five. With three of five, a
 * target with exponential service times would restart about once an hour by chance.
 */
const RECENT = 9;
/**
 * Samples after which the warm value follows only slowly. Before that it is the mean of what was
 * seen: following the faster windows alone would end at the luckiest one.
 */
const SETTLED_SAMPLES = 64;
/** A single short request is no proof that the target became faster. */
const IMPROVED_SAMPLES = 8;
/** A slower window at light load counts for less, so that a slow decline stays visible. */
const RISE_FACTOR = 0.2;
/** Steady windows after which a slower pace becomes the new warm value (changed model). */
const RELEARN_WINDOWS = 30;

/**
 * Learns the warm pace of a target by class of request and compares samples with it. The values
 * outlive restarts of the engine, so that a cold engine is compared with its warm self.
 */
export class PaceTracker {
  readonly #classes = new Map<string, PaceClass>();

  #recent: number[] = [];

  #steadyWindows = 0;

  #lastRatio: number | null = null;

  /** Sets the warm pace of a class from outside, such as from other targets of the service. */
  setWarm(name: string, paceMs: number): void {
    const paceClass = this.#getClass(name);
    paceClass.warmMs = paceMs;
    paceClass.seen = SETTLED_SAMPLES;
  }

  getWarm(name: string): number | null {
    return this.#classes.get(name)?.warmMs ?? null;
  }

  /** @returns the pace over the warm pace, or null when that is not known yet */
  record(name: string, paceMs: number): number | null {
    if (!this.#classes.has(name) && this.#classes.size >= MAX_CLASSES) return null;
    const paceClass = this.#getClass(name);
    if (paceClass.window.length < MAX_WINDOW) paceClass.window.push(paceMs);
    if (paceClass.warmMs === null || paceClass.warmMs <= 0) return null;
    const ratio = paceMs / paceClass.warmMs;
    this.#recent.push(ratio);
    if (this.#recent.length > RECENT) this.#recent.shift();
    return ratio;
  }

  /**
   * Tells whether the last few samples are several times the warm value.
   *
   * @param expectedRatio pace over warm pace that is normal at the present concurrency; without
   *   it an overloaded target would count as cold
   */
  isCold(expectedRatio: number): boolean {
    if (this.#recent.length < RECENT) return false;
    return (computeMedian(this.#recent) ?? 0) >= paceLimits.cold * Math.max(1, expectedRatio);
  }

  /** Forgets recent samples, as they belong to the time before a restart. */
  clearRecent(): void {
    this.#recent = [];
    this.#steadyWindows = 0;
    this.#lastRatio = null;
    for (const paceClass of this.#classes.values()) paceClass.window = [];
  }

  /**
   * Learns from the window that ends now.
   *
   * @param ratio median ratio of the window
   * @param loaded whether a slower pace may come from the load
   * @param errors whether requests failed
   * @returns median factor by which the warm values of this window changed
   */
  closeWindow(ratio: number | null, loaded: boolean, errors: boolean): number {
    const factors: number[] = [];
    const relearn = this.#checkSteady(ratio, errors);
    for (const paceClass of this.#classes.values()) {
      const median = computeMedian(paceClass.window);
      if (median === null) continue;
      const samples = paceClass.window.length;
      paceClass.window = [];
      const oldMs = paceClass.warmMs;
      const improving = (paceLimits.improving / computeSlack(samples)) * (oldMs ?? Infinity);
      const improved = samples >= IMPROVED_SAMPLES && median < improving;
      if (oldMs === null || relearn || improved) {
        paceClass.warmMs = median;
        paceClass.seen = samples;
      } else {
        const settled = paceClass.seen >= SETTLED_SAMPLES;
        const rises = median > oldMs;
        if (settled && rises && (loaded || median > paceLimits.near * oldMs)) continue;
        paceClass.seen = Math.min(SETTLED_SAMPLES, paceClass.seen + samples);
        const weight = samples / (paceClass.seen + (settled ? samples : 0));
        const factor = settled && rises ? RISE_FACTOR : 1;
        paceClass.warmMs = oldMs + factor * weight * (median - oldMs);
      }
      if (oldMs !== null) factors.push(paceClass.warmMs / oldMs);
    }
    return computeMedian(factors) ?? 1;
  }

  /** Counts windows of steady slow pace; true when the pace has to be taken as the warm one. */
  #checkSteady(ratio: number | null, errors: boolean): boolean {
    const last = this.#lastRatio;
    this.#lastRatio = ratio;
    if (ratio === null || last === null || errors || ratio <= paceLimits.near) {
      this.#steadyWindows = 0;
      return false;
    }
    const change = ratio / last;
    if (change < paceLimits.improving || change > 1 / paceLimits.improving) {
      this.#steadyWindows = 0;
      return false;
    }
    this.#steadyWindows += 1;
    if (this.#steadyWindows < RELEARN_WINDOWS) return false;
    this.#steadyWindows = 0;
    this.#recent = [];
    return true;
  }

  #getClass(name: string): PaceClass {
    const known = this.#classes.get(name);
    if (known !== undefined) return known;
    const created: PaceClass = { warmMs: null, seen: 0, window: [] };
    this.#classes.set(name, created);
    return created;
  }
}
