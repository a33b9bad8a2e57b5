import type { Clock } from '../clock/Clock.js';
import type { EntryRecord } from './EntryRecord.js';

/** For this long an entry that is gone still counts for shares, milliseconds. */
const COUNT_MEMORY_MS = 20_000;

/** Entries that are assumed while none is known; shares are then too small rather than too large. */
const ASSUMED_ENTRIES = 16;

/** The live entries, for callers who ask where to connect and for shares of summed limits. */
export class EntryDirectory {
  readonly #clock: Clock;

  readonly #entries = new Map<string, EntryRecord>();

  /** Times at which entries were last known, by name. */
  readonly #seenAtMs = new Map<string, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  accept(entry: EntryRecord): void {
    this.#entries.set(entry.name, entry);
    this.#seenAtMs.set(entry.name, Infinity);
  }

  remove(name: string): void {
    if (!this.#entries.delete(name)) return;
    this.#seenAtMs.set(name, this.#clock.getNow());
  }

  replace(entries: readonly EntryRecord[]): void {
    const present = new Set(entries.map(({ name }) => name));
    for (const name of [...this.#entries.keys()]) if (!present.has(name)) this.remove(name);
    for (const entry of entries) this.accept(entry);
  }

  listEntries(): readonly EntryRecord[] {
    return [...this.#entries.values()];
  }

  /** Counts the entries among which a summed limit is shared. */
  countSharers(): number {
    const nowMs = this.#clock.getNow();
    for (const [name, seenAtMs] of this.#seenAtMs) {
      if (nowMs - seenAtMs > COUNT_MEMORY_MS) this.#seenAtMs.delete(name);
    }
    return this.#seenAtMs.size === 0 ? ASSUMED_ENTRIES : this.#seenAtMs.size;
  }
}
