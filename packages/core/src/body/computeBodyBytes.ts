/** Limit of all bodies where the memory of the process is not known, bytes. */
const DEFAULT_BYTES = 67_108_864;

/** A process with less space for bodies could not forward one of the largest size. */
const MIN_BYTES = 16_777_216;

/** Memory of the program and its heap, without bodies, bytes. */
const PROGRAM_BYTES = 167_772_160;

/**
 * Share of the remaining memory for bodies. The rest is for those that are no longer used but not
 * collected yet, and for what is read from connections at the moment.
 */
const BODY_SHARE = 0.35;

/**
 * Computes the limit of all bodies that a process holds at a time.
 *
 * @param memoryLimitBytes limit of the whole process; null if it is not known
 * @returns bytes
 */
export function computeBodyBytes(memoryLimitBytes: number | null): number {
  if (memoryLimitBytes === null) return DEFAULT_BYTES;
  return Math.max(MIN_BYTES, Math.floor((memoryLimitBytes - PROGRAM_BYTES) * BODY_SHARE));
}
