import type { Clock } from '@limpetbay/core';

/** Lines a second of each kind that one part writes at most; each kind has its own. */
const LINES_PER_SECOND = 200;

/** Lines that a part may write at once after a quiet time. */
const BURST_LINES = 400;

const MS_PER_SECOND = 1000;

type LineKind = 'routine' | 'failure';

/** Bounds the lines that one part of a process writes; failures never wait behind routine lines. */
export class LogLimiter {
  readonly #clock: Clock;

  readonly #left: Record<LineKind, number> = { routine: BURST_LINES, failure: BURST_LINES };

  #refilledMs: number;

  #dropped = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledMs = clock.getNow();
  }

  /** Takes one line from the allowance. @returns whether it may be written */
  take(kind: LineKind): boolean {
    this.#refill();
    if (this.#left[kind] < 1) return false;
    this.#left[kind] -= 1;
    return true;
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

  #refill(): void {
    const nowMs = this.#clock.getNow();
    const lines = ((nowMs - this.#refilledMs) * LINES_PER_SECOND) / MS_PER_SECOND;
    this.#refilledMs = nowMs;
    for (const kind of ['routine', 'failure'] as const) {
      this.#left[kind] = Math.min(BURST_LINES, this.#left[kind] + lines);
    }
  }
}
