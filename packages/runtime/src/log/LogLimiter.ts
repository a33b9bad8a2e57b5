import { TokenBucket, type Clock } from '@limpetbay/core';

/** Lines a second of each kind that one part writes at most; each kind has its own. */
const LINES_PER_SECOND = 200;

/** Lines that a part may write at once after a quiet time. */
const BURST_LINES = 400;

type LineKind = 'routine' | 'failure';

/** Bounds the lines that one part of a process writes; failures never wait behind routine lines. */
export class LogLimiter {
  readonly #buckets: Readonly<Record<LineKind, TokenBucket>>;

  #dropped = 0;

  constructor(clock: Clock) {
    this.#buckets = {
      routine: new TokenBucket(clock, LINES_PER_SECOND, BURST_LINES),
      failure: new TokenBucket(clock, LINES_PER_SECOND, BURST_LINES),
    };
  }

  /** Takes one line from the allowance. @returns whether it may be written */
  take(kind: LineKind): boolean {
    return this.#buckets[kind].take();
  }

  recordDrop(): void {
    this.#dropped += 1;
  }

  /** Returns the number of lines that were dropped since the last call. */
  takeDropped(): number {
    const dropped = this.#dropped;
    this.#dropped = 0;
    return dropped;
  }
}
