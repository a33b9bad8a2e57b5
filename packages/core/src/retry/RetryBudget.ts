/**
 * Limits retries to a share of the requests plus a small burst, so that a failing fleet does not
 * receive a multiple of its load. One budget per entry. It needs no clock: requests fill it.
 */
export class RetryBudget {
  readonly #share: number;

  readonly #burst: number;

  #tokens: number;

  /**
   * @param share retries allowed per request
   * @param burst retries allowed at once; the budget starts full
   */
  constructor(share = 0.1, burst = 10) {
    this.#share = share;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Counts a new request; retries of it do not count again. */
  recordRequest(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share);
  }

  /** Takes one retry from the budget. @returns false where none is left */
  take(): boolean {
    // Sums of 0.1 fall short of 1 by rounding.
    if (this.#tokens < 1 - 1e-9) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Returns the retries left, for metrics. */
  getTokens(): number {
    return this.#tokens;
  }
}
