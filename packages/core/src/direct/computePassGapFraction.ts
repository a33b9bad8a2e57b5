/** Fraction of the allowed gap that a pass may take when the most urgent streams start. */
const MAX_FRACTION = 0.85;

/**
 * When demand for experts shifts, passes take about twice as long until the next map is active. The
 * least urgent streams leave this headroom, because one long pass delays all streams of a group.
 */
const MIN_FRACTION = 0.5;

const STEP_PER_CLASS = 0.2;

/**
 * Computes the fraction of the allowed gap between events that a pass may take for a new stream to
 * start; above it the stream waits.
 *
 * @param urgencyRank 0 for the most urgent class of the service, then 1 and so on
 */
export function computePassGapFraction(urgencyRank: number): number {
  return Math.max(MIN_FRACTION, MAX_FRACTION - STEP_PER_CLASS * urgencyRank);
}
