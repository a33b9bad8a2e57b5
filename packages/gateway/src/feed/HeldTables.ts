import type { RouteTable } from '@limpetbay/core';

/** Counts the route tables that are in memory: the active one and those that were not collected yet. */
export class HeldTables {
  readonly #collected = new FinalizationRegistry<number>((bytes) => {
    this.#count -= 1;
    this.#bytes -= bytes;
  });

  #count = 0;

  #bytes = 0;

  /** @param bytes size of the configuration as it is stored */
  add(table: RouteTable, bytes: number): void {
    this.#count += 1;
    this.#bytes += bytes;
    this.#collected.register(table, bytes);
  }

  count(): number {
    return this.#count;
  }

  /** Returns the sum of the sizes of their configurations, as these are stored. */
  countBytes(): number {
    return this.#bytes;
  }
}
