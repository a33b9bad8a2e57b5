import type { Clock } from '../clock/Clock.js';

const HALF_LIFE_MS = 2000;
const DECAY_MS = HALF_LIFE_MS / Math.LN2;
const MS_PER_SECOND = 1000;
/** Pressure counts for this long after the last refusal for overload. */
const PRESSURE_MS = 2000;

/**
 * Estimates what the targets complete for one entry, as input of its `WorkspaceLimiter`. A capacity
 * is known only under pressure: without refusals the targets could do more than is asked of them.
 */
export class CapacityMeter {
  readonly #clock: Clock;

  /** Completed cost, decaying with the half-life. */
  #completed = 0;

  #updatedMs: number;

  #refusedMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedMs = clock.getNow();
  }

  /** Counts a complete answer. @param cost in the unit that the limiter admits by */
  recordCompleted(cost: number): void {
    this.#decay();
    this.#completed += cost;
  }

  /** Notes that a target or the router refused a request for want of capacity. */
  recordRefused(): void {
    this.#refusedMs = this.#clock.getNow();
  }

  /** Returns the cost completed a second, or null while there is no pressure. */
  getCapacity(): number | null {
    if (this.#clock.getNow() - this.#refusedMs > PRESSURE_MS) return null;
    this.#decay();
    return (this.#completed / DECAY_MS) * MS_PER_SECOND;
  }

  #decay(): void {
    const nowMs = this.#clock.getNow();
    this.#completed *= Math.exp(-(nowMs - this.#updatedMs) / DECAY_MS);
    this.#updatedMs = nowMs;
  }
}
