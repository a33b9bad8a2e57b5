import type { Clock } from '../clock/Clock.js';

/**
 * A token bucket for store writes. The rates of all agents of a service add up to the service's
 * budget, so the store sees no more than that budget plus one burst for each agent.
 */
export class WriteBudget {
  readonly #clock: Clock;

  readonly #burst: number;

  #rate: number;

  #tokens: number;

  #filledMs: number;

  /**
   * @param rate writes per second
   * @param burst writes that may follow each other at once after a quiet time
   */
  constructor(clock: Clock, rate: number, burst = 2) {
    this.#clock = clock;
    this.#rate = rate;
    this.#burst = burst;
    this.#tokens = burst;
    this.#filledMs = clock.getNow();
  }

  /** @param rate writes per second from now on */
  setRate(rate: number): void {
    this.#refill();
    this.#rate = rate;
  }

  /**
   * Takes one write if the budget allows it now.
   *
   * @param left writes that must stay available afterwards
   */
  take(left = 0): boolean {
    this.#refill();
    if (this.#tokens < 1 + left) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const now = this.#clock.getNow();
    const gained = ((now - this.#filledMs) / 1000) * this.#rate;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#filledMs = now;
  }
}
