import type { RandomSource } from '../random/RandomSource.js';
import type { RouterSettings } from './RouterSettings.js';
import type { TargetView } from './TargetView.js';
import { CircuitBreaker } from './CircuitBreaker.js';

/** Bad targets from which on a zone as a whole can be the cause. */
const LEAST_BAD = 2;

/** Whether a zone as a whole has failed, from the failures and silences of its targets. */
export class ZoneHealth {
  readonly breaker: CircuitBreaker;

  readonly #failedMs = new Map<TargetView, number>();

  /** Failures from before this time no longer count. */
  #sinceMs = -Infinity;

  constructor(settings: RouterSettings, random: RandomSource) {
    this.breaker = new CircuitBreaker(settings, random);
  }

  recordFailure(view: TargetView, nowMs: number): void {
    this.#failedMs.set(view, nowMs);
  }

  recordSuccess(view: TargetView, nowMs: number): void {
    this.#failedMs.delete(view);
    if (!this.breaker.isOpen()) return;
    this.#sinceMs = nowMs;
    this.breaker.recordSuccess(nowMs);
  }

  /** Counts the targets with work or failures, and how many of them have failed or are silent. */
  measure(
    views: Iterable<TargetView>,
    nowMs: number,
    watchSilence: boolean,
  ): { active: number; bad: number } {
    let active = 0;
    let bad = 0;
    for (const view of views) {
      const failed =
        view.breaker.isOpen() && (this.#failedMs.get(view) ?? -Infinity) > this.#sinceMs;
      const silent = watchSilence && view.isSuspect(nowMs);
      if (failed || silent) bad += 1;
      if (failed || view.ownInFlight > 0) active += 1;
    }
    return { active, bad };
  }

  /** Whether the counts say that the zone has failed: most of its active targets are bad. */
  static isFailed(counts: { active: number; bad: number }): boolean {
    return counts.bad >= LEAST_BAD && counts.bad * 2 > counts.active;
  }
}
