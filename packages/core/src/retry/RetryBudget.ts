/**
 * Limits retries to a share of the requests plus a small burst, so that failing targets do not
 * receive a multiple of their load. Each entry has its own. Requests refill it, not time.
 */
export class RetryBudget {
  #share: number;

  #burst: number;

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

  /** Changes the limits; retries that were saved up under the earlier ones stay within the new. */
  setLimits(share: number, burst: number): void {
    this.#share = share;
    this.#burst = burst;
    this.#tokens = Math.min(this.#tokens, burst);
  }

  /** Adds the share of a new request. Must not be called again for its retries. */
  recordRequest(): void {
    this.#tokens = Math.min(this.#burst, this.#tokens + this.#share);
  }

  /** Takes one retry from the budget. @returns false if none is left */
  take(): boolean {
    // The tolerance is for rounding: ten times 0.1 is slightly less than 1.
    if (this.#tokens < 1 - 1e-9) return false;
    this.#tokens -= 1;
    return true;
  }

  /** Returns the retries left, for metrics. */
  getTokens(): number {
    return this.#tokens;
  }
}
