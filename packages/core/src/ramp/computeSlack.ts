/** Standard error of a median over the mean absolute deviation of the samples, about. */
const ERROR_FACTOR = 1.5;
/** Spread of service times assumed where none was measured; step times spread far less. */
const ASSUMED_SPREAD = 0.5;

/**
 * Returns the factor by which a bound on a median of few samples is widened: by one standard
 * error, and by more while the spread itself rests on few samples.
 *
 * @param spread mean absolute deviation of the samples relative to their median
 */
export function computeSlack(samples: number, spread = ASSUMED_SPREAD): number {
  const count = Math.max(1, samples);
  return 1 + (ERROR_FACTOR * Math.max(spread, 1 / count)) / Math.sqrt(count);
}
