import { ManualClock } from '@limpetbay/core';

interface Timed {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isEarlier(a: Timed, b: Timed): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Runs scheduled functions in the order of their time and moves the clock along. */
export class EventLoop {
  readonly clock = new ManualClock();

  readonly #heap: Timed[] = [];

  #order = 0;

  getNow(): number {
    return this.clock.getNow();
  }

  /** @param delayMs from now */
  schedule(delayMs: number, run: () => void): void {
    this.#order += 1;
    const timed = { atMs: this.getNow() + Math.max(0, delayMs), order: this.#order, run };
    let index = this.#heap.push(timed) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(timed, this.#heap[parent] as Timed)) break;
      this.#heap[index] = this.#heap[parent] as Timed;
      index = parent;
    }
    this.#heap[index] = timed;
  }

  /** Runs `run` every `periodMs`. */
  scheduleEvery(periodMs: number, run: () => void): void {
    this.schedule(periodMs, () => {
      run();
      this.scheduleEvery(periodMs, run);
    });
  }

  /** Runs everything that is due until `untilMs`. */
  run(untilMs: number): void {
    for (;;) {
      const [next] = this.#heap;
      if (next === undefined || next.atMs > untilMs) break;
      this.#takeFirst();
      this.clock.advance(next.atMs - this.getNow());
      next.run();
    }
    this.clock.advance(untilMs - this.getNow());
  }

  #takeFirst(): void {
    const last = this.#heap.pop() as Timed;
    const { length } = this.#heap;
    if (length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= length) break;
      const right = child + 1;
      if (right < length && isEarlier(this.#heap[right] as Timed, this.#heap[child] as Timed)) {
        child = right;
      }
      if (!isEarlier(this.#heap[child] as Timed, last)) break;
      this.#heap[index] = this.#heap[child] as Timed;
      index = child;
    }
    this.#heap[index] = last;
  }
}
