/** Delay after which the first entry saves what every entry knows, milliseconds. */
const FIRST_SAVE_DELAY_MS = 1000;

/** Each further entry waits so much longer, to see the write of the one before it. */
const SAVE_STEP_MS = 600;

/**
 * Computes how long an entry waits before it saves what every entry knows and the store lacks.
 *
 * @param rank place of the entry among those that save it; 0 is first
 * @returns milliseconds
 */
export function computeSaveDelay(rank: number): number {
  return FIRST_SAVE_DELAY_MS + rank * SAVE_STEP_MS;
}
