import type { Timers } from '../ports/Timers.js';

/** Timers of Node.js. */
export class RealTimers implements Timers {
  schedule(delayMs: number, run: () => void): () => void {
    const timer = setTimeout(run, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  }
}
