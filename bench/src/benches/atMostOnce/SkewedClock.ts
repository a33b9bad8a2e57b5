import type { Clock } from '@limpetbay/core';

/** A clock whose wall time is off by a fixed offset. */
export class SkewedClock implements Clock {
  readonly #clock: Clock;

  readonly #offsetMs: number;

  constructor(clock: Clock, offsetMs: number) {
    this.#clock = clock;
    this.#offsetMs = offsetMs;
  }

  getNow(): number {
    return this.#clock.getNow();
  }

  getWallTime(): Date {
    return new Date(this.#clock.getWallTime().getTime() + this.#offsetMs);
  }
}
