import { computeSpareBytes } from '../body/computeSpareBytes.js';

/** Limit where the memory of the process is not known, bytes. */
const DEFAULT_BYTES = 33_554_432;

/** Space for the reads of some dozen connections at a time. */
const MIN_BYTES = 4_194_304;

/** Share of the memory beyond the program, its heap and the bodies. */
const INPUT_SHARE = 0.2;

/**
 * Computes the limit of what all connections of callers hold at a time besides bodies: bytes that were
 * not parsed, requests without a complete answer, and answers of the servers that are not for callers'
 * requests.
 *
 * @param memoryLimitBytes limit of the whole process; null if it is not known
 * @param heapLimitBytes limit of the heap with its young generation; that of the deploy file if absent
 * @returns bytes
 */
export function computeInputBytes(
  memoryLimitBytes: number | null,
  heapLimitBytes?: number,
): number {
  if (memoryLimitBytes === null) return DEFAULT_BYTES;
  const spareBytes = computeSpareBytes(memoryLimitBytes, heapLimitBytes);
  return Math.max(MIN_BYTES, Math.floor(spareBytes * INPUT_SHARE));
}
