import { setTimeout as sleep } from 'node:timers/promises';

const POLL_MS = 10;

/**
 * Waits until a condition holds.
 *
 * @param timeoutMs longest wait, milliseconds
 * @returns whether the condition held before the timeout
 */
export async function waitUntil(condition: () => boolean, timeoutMs: number): Promise<boolean> {
  const endMs = performance.now() + timeoutMs;
  while (!condition()) {
    if (performance.now() >= endMs) return false;
    await sleep(POLL_MS);
  }
  return true;
}
