/** Approximate standard error of a median of n samples: this times their spread / sqrt(n). */
const STANDARD_ERROR_FACTOR = 1.5;
/** Assumed spread of service times where none is measured; step times spread far less. */
const DEFAULT_SPREAD = 0.5;

/**
 * Returns the factor by which a bound on a median is widened for the sampling error: one standard
 * error, or more while there are too few samples to estimate the spread.
 *
 * @param spread mean absolute deviation of the samples relative to their median
 */
export function computeToleranceFactor(samples: number, spread = DEFAULT_SPREAD): number {
  const count = Math.max(1, samples);
  return 1 + (STANDARD_ERROR_FACTOR * Math.max(spread, 1 / count)) / Math.sqrt(count);
}
