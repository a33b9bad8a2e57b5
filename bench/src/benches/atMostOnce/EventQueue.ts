import { ManualClock } from '@limpetbay/core';

/** A component that schedules its own events, such as a store with delayed answers. */
interface TimedSource {
  getNextDueMs(): number | null;
  tick(): void;
}

interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}

/** Events ordered by time in a binary heap. Running an event advances the clock to its time. */
export class EventQueue {
  readonly clock = new ManualClock();

  readonly #heap: Event[] = [];

  #source: TimedSource | null = null;

  #order = 0;

  /** Also runs the events of a source when they are due; replaces an earlier source. */
  attachSource(source: TimedSource): void {
    this.#source = source;
  }

  schedule(delayMs: number, action: () => void): void {
    const event = { atMs: this.clock.getNow() + Math.max(0, delayMs), order: this.#order, action };
    this.#order += 1;
    const heap = this.#heap;
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentEvent = heap[parent] as Event;
      if (!isBefore(event, parentEvent)) break;
      heap[index] = parentEvent;
      heap[parent] = event;
      index = parent;
    }
  }

  /** Runs all events up to `endMs`, and waits for pending promises after each point in time. */
  async run(endMs: number): Promise<void> {
    for (;;) {
      const nextMs = Math.min(
        this.#heap[0]?.atMs ?? Infinity,
        this.#source?.getNextDueMs() ?? Infinity,
      );
      if (nextMs > endMs) return;
      this.clock.advance(nextMs - this.clock.getNow());
      this.#source?.tick();
      while (this.#heap[0] !== undefined && this.#heap[0].atMs <= this.clock.getNow()) {
        this.#dequeue().action();
      }
      // More turns than the longest chain of promises between a store answer and its effect.
      for (let turn = 0; turn < 8; turn += 1) await null;
    }
  }

  #dequeue(): Event {
    const heap = this.#heap;
    const first = heap[0] as Event;
    const last = heap.pop() as Event;
    if (heap.length === 0) return first;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1] as Event, heap[child] as Event)) {
        child += 1;
      }
      if (!isBefore(heap[child] as Event, last)) break;
      heap[index] = heap[child] as Event;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}
