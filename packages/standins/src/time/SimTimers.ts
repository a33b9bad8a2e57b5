import type { Clock } from '@limpetbay/core';

interface SimTimer {
  readonly dueMs: number;
  readonly order: number;
  readonly run: () => void;
}

/**
 * Replaces the timers of the process by simulated ones, which run as fast as their callbacks.
 * Between two of them all pending promises settle.
 */
export class SimTimers implements Clock {
  #nowMs = 0;

  #created = 0;

  /** Binary heap of pending timers, the next one first. */
  readonly #heap: SimTimer[] = [];

  readonly #cancelled = new Set<number>();

  #original: Pick<typeof globalThis, 'setTimeout' | 'clearTimeout'> | null = null;

  begin(): void {
    const { setTimeout, clearTimeout } = globalThis;
    this.#original = { setTimeout, clearTimeout };
    Object.assign(globalThis, {
      setTimeout: (run: () => void, delayMs = 0) => this.#schedule(run, delayMs),
      clearTimeout: (order: number) => this.#cancelled.add(order),
    });
  }

  /** Restores the timers of the process; simulated ones that are pending never run. */
  end(): void {
    if (this.#original !== null) Object.assign(globalThis, this.#original);
    this.#original = null;
    this.#heap.length = 0;
  }

  getNow(): number {
    return this.#nowMs;
  }

  getWallTime(): Date {
    return new Date(this.#nowMs);
  }

  async advance(periodMs: number): Promise<void> {
    const endMs = this.#nowMs + periodMs;
    for (let next = this.#heap[0]; next !== undefined && next.dueMs <= endMs; [next] = this.#heap) {
      this.#removeFirst();
      if (this.#cancelled.delete(next.order)) continue;
      this.#nowMs = next.dueMs;
      next.run();
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    this.#nowMs = endMs;
  }

  #schedule(run: () => void, delayMs: number): number {
    this.#created += 1;
    const timer = { dueMs: this.#nowMs + Math.max(0, delayMs), order: this.#created, run };
    this.#heap.push(timer);
    for (let index = this.#heap.length - 1; index > 0;) {
      const parent = Math.floor((index - 1) / 2);
      if (!this.#swapIfEarlier(index, parent)) break;
      index = parent;
    }
    return timer.order;
  }

  #removeFirst(): void {
    const last = this.#heap.pop();
    if (last === undefined || this.#heap.length === 0) return;
    this.#heap[0] = last;
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      const child = this.#isEarlier(left + 1, left) ? left + 1 : left;
      if (!this.#swapIfEarlier(child, index)) return;
      index = child;
    }
  }

  #swapIfEarlier(index: number, parent: number): boolean {
    if (!this.#isEarlier(index, parent)) return false;
    const timer = this.#heap[index] as SimTimer;
    this.#heap[index] = this.#heap[parent] as SimTimer;
    this.#heap[parent] = timer;
    return true;
  }

  #isEarlier(index: number, other: number): boolean {
    const a = this.#heap[index];
    const b = this.#heap[other];
    if (a === undefined || b === undefined) return false;
    return a.dueMs < b.dueMs || (a.dueMs === b.dueMs && a.order < b.order);
  }
}
