import { TokenBucket, type Clock } from '@limpetbay/core';

/** Maximum rate of lines per component and kind. */
const MAX_LINES_PER_SECOND = 200;

/** Maximum burst of lines per component and kind. */
const MAX_BURST_LINES = 400;

type LineKind = 'routine' | 'failure';

/**
 * Limits the rate of log lines of one component. Failures have their own token bucket, so that
 * routine lines cannot use up their allowance.
 */
export class LogLimiter {
  readonly #buckets: Readonly<Record<LineKind, TokenBucket>>;

  #dropped = 0;

  constructor(clock: Clock) {
    this.#buckets = {
      routine: new TokenBucket(clock, MAX_LINES_PER_SECOND, MAX_BURST_LINES),
      failure: new TokenBucket(clock, MAX_LINES_PER_SECOND, MAX_BURST_LINES),
    };
  }

  /** Takes a token for one line. @returns whether the line may be written */
  take(kind: LineKind): boolean {
    return this.#buckets[kind].take();
  }

  recordDrop(): void {
    this.#dropped += 1;
  }

  /** Returns the number of lines dropped since the last call and resets it. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}
