import type { Clock } from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';

/** Least time between two lines. */
const INTERVAL_MS = 10_000;

/** A warning about connections that is logged at most once in 10 s, with their number since then. */
export class CountedWarning {
  readonly #clock: Clock;

  readonly #log: Log;

  readonly #sentence: string;

  #connections = 0;

  /** When it was logged last, monotonic milliseconds. */
  #loggedMs = -Infinity;

  constructor(clock: Clock, log: Log, sentence: string) {
    this.#clock = clock;
    this.#log = log;
    this.#sentence = sentence;
  }

  add(): void {
    this.#connections += 1;
    const nowMs = this.#clock.getNow();
    if (nowMs - this.#loggedMs < INTERVAL_MS) return;
    this.#loggedMs = nowMs;
    this.#log.warn(this.#sentence, { connections: this.#connections });
    this.#connections = 0;
  }
}
