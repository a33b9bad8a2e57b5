/** Fraction of the slots of a target that each class leaves free for the next more urgent one. */
const RESERVED_FRACTION = 0.15;

/** Fraction of the slots that every class may use, so that none is starved. */
const MIN_FRACTION = 0.55;

/** Fraction of the slots for late requests; the rest is for those that can meet their objective. */
const LATE_FRACTION = 0.5;

/**
 * Computes the fraction of the slots of a target that requests of a class may fill. The most urgent
 * class of a service may fill all of them.
 *
 * @param urgencyRank 0 for the most urgent class of the service, then 1 and so on
 * @param isLate whether the request can no longer meet its objective
 * @returns 0 to 1
 */
export function computeSlotFraction(urgencyRank: number, isLate: boolean): number {
  const fraction = Math.max(MIN_FRACTION, 1 - RESERVED_FRACTION * urgencyRank);
  return isLate ? Math.min(LATE_FRACTION, fraction) : fraction;
}
