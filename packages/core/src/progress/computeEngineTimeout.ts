/** Steps without a token after which an engine counts as unresponsive. */
const STEPS = 20;

const MIN_TIMEOUT_MS = 500;

const MAX_TIMEOUT_MS = 5000;

/**
 * Returns the time without progress after which an engine counts as unresponsive, milliseconds. A
 * stream gets one token per step, so the timeout is a multiple of the step time. The first token
 * also waits for the engine's queue and the prefill.
 *
 * @param stepTimeMs smoothed step time, milliseconds
 * @param firstTokenMs predicted time to the first token, milliseconds; 0 after the first token
 */
export function computeEngineTimeout(stepTimeMs: number, firstTokenMs: number): number {
  return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, STEPS * stepTimeMs)) + 2 * firstTokenMs;
}
