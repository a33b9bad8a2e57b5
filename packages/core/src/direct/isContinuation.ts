const INTEGER_PATTERN = /^\d{1,18}$/;

/**
 * Returns whether the first event of a resumed stream follows the last one that was received. Ids
 * of streams increase; those that are not integers are only compared for equality.
 *
 * @param resumedAfter id of the last event that was received; null where the stream is not resumed
 * @param firstId id of the first event; null where it has none
 */
export function isContinuation(resumedAfter: string | null, firstId: string | null): boolean {
  if (resumedAfter === null || firstId === null) return true;
  if (!INTEGER_PATTERN.test(resumedAfter) || !INTEGER_PATTERN.test(firstId)) {
    return firstId !== resumedAfter;
  }
  return BigInt(firstId) > BigInt(resumedAfter);
}
