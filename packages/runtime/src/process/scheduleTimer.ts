/** Node.js runs timers with longer delays at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** A timer that is later than this was held up, and what it waits for may have arrived already. */
const MAX_LATE_MS = 10;

/**
 * Runs an action once after a delay. After a pause of the process Node.js may run all timers before
 * it reads from any connection. A late action therefore runs after the next reads, so that a timeout
 * does not give up an answer that has arrived.
 *
 * @param delayMs longest 24 days; longer delays are shortened to that time
 * @returns a function that cancels the action
 */
export function scheduleTimer(delayMs: number, run: () => void): () => void {
  const usedMs = Math.min(MAX_DELAY_MS, Math.max(0, delayMs));
  const latestMs = performance.now() + usedMs + MAX_LATE_MS;
  let immediate: NodeJS.Immediate | null = null;
  const timer = setTimeout(() => {
    if (performance.now() <= latestMs) run();
    else immediate = setImmediate(run);
  }, usedMs);
  return () => {
    clearTimeout(timer);
    if (immediate !== null) clearImmediate(immediate);
  };
}
