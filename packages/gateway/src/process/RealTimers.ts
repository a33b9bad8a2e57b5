import type { Timers } from '../ports/Timers.js';

/** Node.js runs timers with longer delays at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** Timers of Node.js; delays of more than 24 days are shortened to that time. */
export class RealTimers implements Timers {
  schedule(delayMs: number, run: () => void): () => void {
    const timer = setTimeout(run, Math.min(MAX_DELAY_MS, Math.max(0, delayMs)));
    return () => clearTimeout(timer);
  }
}
