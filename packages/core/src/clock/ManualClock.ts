import type { Clock } from './Clock.js';

/** A clock that moves only when told to; used by tests and deterministic benches. */
export class ManualClock implements Clock {
  #nowMs: number;

  readonly #originMs: number;

  /**
   * @param nowMs first monotonic reading, milliseconds
   * @param origin wall-clock time at monotonic zero
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

  /** Moves the time forward by `stepMs` milliseconds. */
  advance(stepMs: number): void {
    this.#nowMs += stepMs;
  }
}
