import type { Clock } from '../clock/Clock.js';

const COST_HALF_LIFE_MS = 2000;
const DECAY_TIME_CONSTANT_MS = COST_HALF_LIFE_MS / Math.LN2;
const MS_PER_SECOND = 1000;
/** The targets count as overloaded for this long after the last refusal for overload. */
const OVERLOAD_PERIOD_MS = 2000;

/**
 * Estimates the cost that the targets complete per second for one entry, as input of its
 * `WorkspaceLimiter`. The estimate exists only while targets refuse requests: otherwise they have
 * spare capacity, and the completed cost is only a lower bound.
 */
export class CapacityEstimator {
  readonly #clock: Clock;

  /** Cost of completed answers, decaying with the half-life. */
  #decayedCost = 0;

  #updatedMs: number;

  #lastRefusalMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedMs = clock.getNow();
  }

  /** Records a complete answer. @param cost in the unit passed to `WorkspaceLimiter.admit` */
  recordCompletion(cost: number): void {
    this.#decay();
    this.#decayedCost += cost;
  }

  /** Records that a target or the router refused a request for lack of capacity. */
  recordRefusal(): void {
    this.#lastRefusalMs = this.#clock.getNow();
  }

  /** Returns the cost completed per second, or null without a recent refusal. */
  getCapacity(): number | null {
    if (this.#clock.getNow() - this.#lastRefusalMs > OVERLOAD_PERIOD_MS) return null;
    this.#decay();
    return (this.#decayedCost / DECAY_TIME_CONSTANT_MS) * MS_PER_SECOND;
  }

  #decay(): void {
    const nowMs = this.#clock.getNow();
    this.#decayedCost *= Math.exp(-(nowMs - this.#updatedMs) / DECAY_TIME_CONSTANT_MS);
    this.#updatedMs = nowMs;
  }
}
