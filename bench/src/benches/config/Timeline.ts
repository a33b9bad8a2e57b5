import { ManualClock } from '@limpetbay/core';

/** Runs events in order of time under its own clock, with a resolution of one millisecond. */
export class Timeline {
  readonly clock = new ManualClock();

  readonly #events = new Map<number, (() => void)[]>();

  /** Runs `event` after `delayMs`, never within the present event. */
  schedule(delayMs: number, event: () => void): void {
    const at = Math.ceil(this.clock.getNow() + Math.max(delayMs, 1));
    const events = this.#events.get(at);
    if (events === undefined) this.#events.set(at, [event]);
    else events.push(event);
  }

  /** Lets `durationMs` pass. */
  advance(durationMs: number): void {
    const end = this.clock.getNow() + durationMs;
    while (this.clock.getNow() < end) {
      this.clock.advance(1);
      const now = this.clock.getNow();
      for (const event of this.#events.get(now) ?? []) event();
      this.#events.delete(now);
    }
  }
}
