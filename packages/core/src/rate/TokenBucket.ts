import type { Clock } from '../clock/Clock.js';

const MS_PER_SECOND = 1000;

/**
 * Limits how often something happens: at a steady rate, with a burst after a quiet time. Where
 * processes share a limit, their rates add up to it, and each adds one burst.
 */
export class TokenBucket {
  readonly #clock: Clock;

  readonly #burst: number;

  #rate: number;

  #tokens: number;

  #filledMs: number;

  /**
   * @param rate tokens per second
   * @param burst tokens that may be taken at once after a quiet time; the bucket starts full
   */
  constructor(clock: Clock, rate: number, burst: number) {
    this.#clock = clock;
    this.#rate = rate;
    this.#burst = burst;
    this.#tokens = burst;
    this.#filledMs = clock.getNow();
  }

  /** @param rate tokens per second from now on */
  setRate(rate: number): void {
    this.#refill();
    this.#rate = rate;
  }

  /**
   * Tells whether a token can be taken now.
   *
   * @param left tokens that must stay afterwards
   */
  hasToken(left = 0): boolean {
    this.#refill();
    return this.#tokens >= 1 + left;
  }

  /** Takes a token if there is one. @param left tokens that must stay afterwards */
  take(left = 0): boolean {
    if (!this.hasToken(left)) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const now = this.#clock.getNow();
    const gained = ((now - this.#filledMs) / MS_PER_SECOND) * this.#rate;
    this.#tokens = Math.min(this.#burst, this.#tokens + gained);
    this.#filledMs = now;
  }
}
