import type { RandomSource } from '../random/RandomSource.js';
import type { RouterSettings } from './RouterSettings.js';
import type { TargetView } from './TargetView.js';
import { CircuitBreaker } from './CircuitBreaker.js';

/** Minimum failing targets for a failure of the whole zone. */
const MIN_FAILING_TARGETS = 2;

/** Detects the failure of a whole zone from failed and stalled targets in it. */
export class ZoneHealth {
  readonly breaker: CircuitBreaker;

  readonly #lastFailureMs = new Map<TargetView, number>();

  /** Failures before this time no longer count. */
  #countFromMs = -Infinity;

  constructor(settings: RouterSettings, random: RandomSource) {
    this.breaker = new CircuitBreaker(settings, random);
  }

  recordFailure(view: TargetView, nowMs: number): void {
    this.#lastFailureMs.set(view, nowMs);
  }

  recordSuccess(view: TargetView, nowMs: number): void {
    this.#lastFailureMs.delete(view);
    if (!this.breaker.isOpen()) return;
    this.#countFromMs = nowMs;
    this.breaker.recordSuccess(nowMs);
  }

  /** Counts the targets with work or failures, and how many of them have failed or are stalled. */
  countTargets(
    views: Iterable<TargetView>,
    nowMs: number,
    detectStalls: boolean,
  ): { active: number; failing: number } {
    let active = 0;
    let failing = 0;
    for (const view of views) {
      const failed =
        view.breaker.isOpen() && (this.#lastFailureMs.get(view) ?? -Infinity) > this.#countFromMs;
      const stalled = detectStalls && view.isStalled(nowMs);
      if (failed || stalled) failing += 1;
      if (failed || view.ownInFlight > 0) active += 1;
    }
    return { active, failing };
  }

  /** Returns whether the zone has failed: most of its active targets are failing. */
  static isFailed(counts: { active: number; failing: number }): boolean {
    return counts.failing >= MIN_FAILING_TARGETS && counts.failing * 2 > counts.active;
  }
}
