import type { RandomSource } from '@limpetbay/core';
import type { MemoryStore } from '@limpetbay/standins';

type Copy = ReturnType<MemoryStore['takeCopy']>;

const COPY_INTERVAL_MS = 500;

const STORE_TICK_MS = 4;

/** Runs a store and keeps the last copies of it, from which it can be restored. */
export class SimCopies {
  readonly #copies: Copy[] = [];

  readonly #store: MemoryStore;

  readonly #maxCopies: number;

  constructor(store: MemoryStore, maxCopies: number) {
    this.#store = store;
    this.#maxCopies = maxCopies;
    this.#tick();
    this.#keep();
  }

  /** Returns one of the copies. */
  draw(random: RandomSource): Copy | undefined {
    return this.#copies[Math.floor(random.next() * this.#copies.length)];
  }

  #tick(): void {
    this.#store.tick();
    setTimeout(() => this.#tick(), STORE_TICK_MS);
  }

  #keep(): void {
    this.#copies.push(this.#store.takeCopy());
    if (this.#copies.length > this.#maxCopies) this.#copies.shift();
    setTimeout(() => this.#keep(), COPY_INTERVAL_MS);
  }
}
