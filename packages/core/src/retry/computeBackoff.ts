import type { RandomSource } from '../random/RandomSource.js';

/**
 * Returns the delay before a retry by exponential backoff with full jitter.
 *
 * @param failures failed attempts so far, at least 1
 * @param baseMs upper bound of the first delay
 * @param maxMs upper bound of any delay
 * @returns milliseconds in [0, min(maxMs, baseMs * 2^(failures - 1)))
 */
export function computeBackoff(
  failures: number,
  random: RandomSource,
  baseMs = 25,
  maxMs = 1000,
): number {
  const boundMs = Math.min(maxMs, baseMs * 2 ** Math.max(0, failures - 1));
  return random.next() * boundMs;
}
