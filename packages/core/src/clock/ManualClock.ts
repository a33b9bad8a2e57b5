import type { Clock } from './Clock.js';

/** A clock that advances only by calls of `advance`, for tests and deterministic benches. */
export class ManualClock implements Clock {
  #nowMs: number;

  readonly #originMs: number;

  /**
   * @param nowMs initial monotonic time, milliseconds
   * @param origin wall-clock time at monotonic time 0
   */
  constructor(nowMs = 0, origin = new Date('2026-01-01T00:00:00Z')) {
    this.#nowMs = nowMs;
    this.#originMs = origin.getTime();
  }

  getNow(): number {
    return this.#nowMs;
  }

  getWallTime(): Date {
    return new Date(this.#originMs + this.#nowMs);
  }

  /** Advances the time by `stepMs` milliseconds. */
  advance(stepMs: number): void {
    this.#nowMs += stepMs;
  }
}
