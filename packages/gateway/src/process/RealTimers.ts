import { scheduleTimer } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';

/** Timers of Node.js, which run after what has arrived was read. */
export class RealTimers implements Timers {
  schedule(delayMs: number, run: () => void): () => void {
    return scheduleTimer(delayMs, run);
  }
}
