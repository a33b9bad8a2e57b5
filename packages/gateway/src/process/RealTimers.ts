import type { Timers } from '../ports/Timers.js';

/** Node.js runs timers with longer delays at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/**
 * Timers of Node.js; delays of more than 24 days are shortened to that time. An action runs after the
 * sockets have been read: after a pause of the process, an answer that has arrived must not count as
 * late.
 */
export class RealTimers implements Timers {
  schedule(delayMs: number, run: () => void): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(
      () => {
        immediate = setImmediate(run);
      },
      Math.min(MAX_DELAY_MS, Math.max(0, delayMs)),
    );
    return () => {
      clearTimeout(timer);
      clearImmediate(immediate);
    };
  }
}
