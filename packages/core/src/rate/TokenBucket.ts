import type { Clock } from '../clock/Clock.js';

const MS_PER_SECOND = 1000;

/**
 * Token bucket: limits events to a steady rate plus a burst after an idle period. Where processes
 * share a limit, their rates must add up to it; each process adds its own burst.
 */
export class TokenBucket {
  readonly #clock: Clock;

  #burst: number;

  #tokensPerSecond: number;

  #tokens: number;

  #refilledMs: number;

  /**
   * @param rate tokens per second
   * @param burst capacity of the bucket, which starts full
   */
  constructor(clock: Clock, rate: number, burst: number) {
    this.#clock = clock;
    this.#tokensPerSecond = rate;
    this.#burst = burst;
    this.#tokens = burst;
    this.#refilledMs = clock.getNow();
  }

  /**
   * Changes the refill rate.
   *
   * @param rate tokens per second from now on
   * @param burst capacity from now on
   */
  setRate(rate: number, burst = this.#burst): void {
    this.#refill();
    this.#tokensPerSecond = rate;
    this.#burst = burst;
    this.#tokens = Math.min(burst, this.#tokens);
  }

  /** Returns how long until a token is available, milliseconds; Infinity without a refill. */
  getWaitMs(): number {
    this.#refill();
    if (this.#tokens >= 1) return 0;
    return ((1 - this.#tokens) / this.#tokensPerSecond) * MS_PER_SECOND;
  }

  /**
   * Returns whether a token is available now.
   *
   * @param reserve tokens that must remain afterwards
   */
  hasToken(reserve = 0): boolean {
    this.#refill();
    return this.#tokens >= 1 + reserve;
  }

  /** Takes a token if one is available. @param reserve tokens that must remain afterwards */
  take(reserve = 0): boolean {
    if (!this.hasToken(reserve)) return false;
    this.#tokens -= 1;
    return true;
  }

  #refill(): void {
    const nowMs = this.#clock.getNow();
    const gainedTokens = ((nowMs - this.#refilledMs) / MS_PER_SECOND) * this.#tokensPerSecond;
    this.#tokens = Math.min(this.#burst, this.#tokens + gainedTokens);
    this.#refilledMs = nowMs;
  }
}
