import { computeSpareBytes } from './computeSpareBytes.js';

/** Limit of all bodies where the memory of the process is not known, bytes. */
const DEFAULT_BYTES = 67_108_864;

/** A process with less space for bodies could not forward one of the largest size, 8 MiB. */
const MIN_BYTES = 10_485_760;

/**
 * Share of the remaining memory for bodies. The rest is for those that are no longer used but not
 * collected yet, and for what is read from connections at the moment.
 */
const BODY_SHARE = 0.35;

/**
 * Computes the limit of all bodies that a process holds at a time.
 *
 * @param memoryLimitBytes limit of the whole process; null if it is not known
 * @param heapLimitBytes limit of the heap with its young generation; that of the deploy file if absent
 * @returns bytes
 */
export function computeBodyBytes(memoryLimitBytes: number | null, heapLimitBytes?: number): number {
  if (memoryLimitBytes === null) return DEFAULT_BYTES;
  const spareBytes = computeSpareBytes(memoryLimitBytes, heapLimitBytes);
  return Math.max(MIN_BYTES, Math.floor(spareBytes * BODY_SHARE));
}
