import type { RandomSource } from '../random/RandomSource.js';

interface BackoffOptions {
  readonly random: RandomSource;
  /** Upper bound of the first delay, milliseconds. */
  readonly baseMs: number;
  /** Upper bound of any delay, milliseconds. */
  readonly capMs: number;
}

const GROWTH_FACTOR = 2;

/**
 * Exponential backoff with full jitter: delays are uniform between zero and an upper limit that
 * doubles. Processes that failed together thus spread their retries instead of retrying together.
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
    const maxDelayMs = Math.min(capMs, baseMs * GROWTH_FACTOR ** this.#attempts);
    this.#attempts += 1;
    return random.next() * maxDelayMs;
  }

  /** Restarts at the base delay, after a success. */
  reset(): void {
    this.#attempts = 0;
  }
}
