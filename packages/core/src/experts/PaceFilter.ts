import { urgentPace } from './urgentPace.js';

/** Time for which a smaller rise must last before it counts: a change of map takes about as long. */
const RISE_DELAY_MS = 1000;

/** Time for which a fall must last: several changes of map, so that jumps do not cause one each. */
const FALL_DELAY_MS = 3000;

/**
 * Longest time for which a fall must last. The time doubles whenever a rank is slow again soon after
 * its recovery: a rank without experts costs its group little, each return of them costs copies.
 */
const MAX_FALL_DELAY_MS = 24_000;

/** Time after a recovery in which slowness counts as a relapse. */
const RELAPSE_MS = 30_000;

/**
 * The pace of one rank as it counts for the placement of experts. Urgent slowness counts at once;
 * other changes count after they have lasted.
 */
export class PaceFilter {
  #pace = 1;

  /** Whether the latest paces are above or below the one that counts; null where equal. */
  #trend: 'rise' | 'fall' | null = null;

  #trendStartMs = -Infinity;

  /** Pace of the trend that is nearest to the one that counts. */
  #nearest = 1;

  #fallDelayMs = FALL_DELAY_MS;

  /** When a fall last counted. */
  #lastFallMs = -Infinity;

  /** Records a reported pace. @param nowMs monotonic milliseconds */
  record(pace: number, nowMs: number): void {
    if (pace === this.#pace) {
      this.#trend = null;
      return;
    }
    const trend = pace > this.#pace ? 'rise' : 'fall';
    if (this.#trend !== trend) {
      this.#trend = trend;
      this.#trendStartMs = nowMs;
      this.#nearest = pace;
    }
    const isRise = trend === 'rise';
    this.#nearest = isRise ? Math.min(this.#nearest, pace) : Math.max(this.#nearest, pace);
    const isUrgent = isRise && pace >= urgentPace;
    const delayMs = isRise ? RISE_DELAY_MS : this.#fallDelayMs;
    if (!isUrgent && nowMs - this.#trendStartMs < delayMs) return;
    if (!isRise) this.#lastFallMs = nowMs;
    else if (this.#pace === 1) this.#fallDelayMs = this.#chooseFallDelayMs(nowMs);
    this.#pace = isUrgent ? pace : this.#nearest;
    this.#trend = null;
  }

  /** Returns the pace that counts. */
  getPace(): number {
    return this.#pace;
  }

  #chooseFallDelayMs(nowMs: number): number {
    const isRelapse = nowMs - this.#lastFallMs < RELAPSE_MS;
    return isRelapse ? Math.min(MAX_FALL_DELAY_MS, 2 * this.#fallDelayMs) : FALL_DELAY_MS;
  }
}
