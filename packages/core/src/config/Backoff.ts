import type { RandomSource } from '../random/RandomSource.js';

interface BackoffOptions {
  readonly random: RandomSource;
  /** Upper end of the first delay, milliseconds. */
  readonly baseMs: number;
  /** Upper end of any delay, milliseconds. */
  readonly capMs: number;
}

const GROWTH = 2;

/**
 * Delays with full jitter: uniform between zero and a bound that doubles. Processes that failed
 * together therefore spread their retries over the whole bound instead of returning together.
 */
export class Backoff {
  readonly #options: BackoffOptions;

  #attempts = 0;

  constructor(options: BackoffOptions) {
    this.#options = options;
  }

  /** Returns the next delay, milliseconds. */
  next(): number {
    const { random, baseMs, capMs } = this.#options;
    const bound = Math.min(capMs, baseMs * GROWTH ** this.#attempts);
    this.#attempts += 1;
    return random.next() * bound;
  }

  /** Begins again at the base after a success. */
  reset(): void {
    this.#attempts = 0;
  }
}
