/** Share of the limit of all bodies. */
const ANSWER_SHARE = 3 / 4;

/** An answer of the largest size, 8 MiB, and small ones beside it. */
const MIN_BYTES = 9_437_184;

/**
 * Computes the limit of all answers that callers have not read, which are bodies too.
 *
 * @param bodyBytes limit of all bodies
 * @returns bytes
 */
export function computeAnswerBytes(bodyBytes: number): number {
  return Math.max(MIN_BYTES, Math.floor(bodyBytes * ANSWER_SHARE));
}
