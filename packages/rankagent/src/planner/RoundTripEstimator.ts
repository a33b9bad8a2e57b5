/** Bounds of the timeout, milliseconds. An agent waits up to 60 ms for its rank. */
const MIN_TIMEOUT_MS = 80;
const MAX_TIMEOUT_MS = 500;

/** Weights of a new sample in the smoothed round-trip time and in its variation (RFC 6298). */
const MEAN_WEIGHT = 1 / 8;
const VARIATION_WEIGHT = 1 / 4;

const VARIATIONS_IN_TIMEOUT = 4;

/** Estimates how long to wait for an answer of another agent from earlier round trips. */
export class RoundTripEstimator {
  #meanMs: number | null = null;

  #variationMs = 0;

  /** @param roundTripMs time from an order that was sent once to its answer */
  recordRoundTrip(roundTripMs: number): void {
    if (this.#meanMs === null) {
      this.#meanMs = roundTripMs;
      this.#variationMs = roundTripMs / 2;
      return;
    }
    const differenceMs = Math.abs(roundTripMs - this.#meanMs);
    this.#variationMs += VARIATION_WEIGHT * (differenceMs - this.#variationMs);
    this.#meanMs += MEAN_WEIGHT * (roundTripMs - this.#meanMs);
  }

  getTimeoutMs(): number {
    const timeoutMs = (this.#meanMs ?? 0) + VARIATIONS_IN_TIMEOUT * this.#variationMs;
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, timeoutMs));
  }
}
