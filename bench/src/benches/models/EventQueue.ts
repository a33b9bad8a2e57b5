import { ManualClock } from '@limpetbay/core';

interface TimedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Runs events in time order under a manual clock; events of one time run in insertion order. */
export class EventQueue {
  readonly clock = new ManualClock();

  /** A binary heap. */
  readonly #heap: TimedEvent[] = [];

  #order = 0;

  add(delayMs: number, run: () => void): void {
    const event = { atMs: this.clock.getNow() + delayMs, order: this.#order, run };
    this.#order += 1;
    let index = this.#heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(event, this.#heap[parent]!)) break;
      this.#heap[index] = this.#heap[parent]!;
      index = parent;
    }
    this.#heap[index] = event;
  }

  /** Runs all events up to a time, in milliseconds. */
  run(untilMs: number): void {
    while (this.#heap[0] !== undefined && this.#heap[0].atMs <= untilMs) {
      const event = this.#take();
      this.clock.advance(event.atMs - this.clock.getNow());
      event.run();
    }
  }

  #take(): TimedEvent {
    const first = this.#heap[0]!;
    const last = this.#heap.pop()!;
    if (this.#heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= this.#heap.length) break;
      const right = this.#heap[child + 1];
      if (right !== undefined && isBefore(right, this.#heap[child]!)) child += 1;
      if (!isBefore(this.#heap[child]!, last)) break;
      this.#heap[index] = this.#heap[child]!;
      index = child;
    }
    this.#heap[index] = last;
    return first;
  }
}
