/** Steps without a token after which an engine counts as silent. */
const STEPS = 20;

const LEAST_MS = 500;

const MOST_MS = 5000;

/**
 * Returns the time without progress after which an engine counts as silent, milliseconds. A stream
 * of tokens gets one every step, so its limit follows the step time. The first token waits for the
 * engine's queue and the prefill as well.
 *
 * @param stepTimeMs smoothed step time
 * @param firstTokenMs predicted time to the first token, or 0 after it
 */
export function computeEngineLimit(stepTimeMs: number, firstTokenMs: number): number {
  return Math.min(MOST_MS, Math.max(LEAST_MS, STEPS * stepTimeMs)) + 2 * firstTokenMs;
}
