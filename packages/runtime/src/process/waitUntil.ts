import { setTimeout as sleep } from 'node:timers/promises';

const POLL_INTERVAL_MS = 10;

/**
 * Polls a condition until it holds or a timeout passes.
 *
 * @param timeoutMs maximum wait, milliseconds
 * @returns whether the condition held before the timeout
 */
export async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const deadlineMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() >= deadlineMs) return false;
    await sleep(POLL_INTERVAL_MS);
  }
  return true;
}
