import type { Clock } from '../clock/Clock.js';
import type { EntryRecord } from './EntryRecord.js';

/** How long a departed entry still counts for shares, milliseconds. */
const DEPARTED_ENTRY_RETENTION_MS = 20_000;

/** Entries of a deployment start within this time of each other, milliseconds. */
const SETTLING_MS = 1000;

/** Assumed while no entry is known; high, so that shares are too small rather than too large. */
const DEFAULT_ENTRY_COUNT = 16;

/** The live entries: where callers can connect, and among how many entries a limit is shared. */
export class EntryDirectory {
  readonly #clock: Clock;

  readonly #entries = new Map<string, EntryRecord>();

  /** When each entry was removed, by name, monotonic milliseconds; Infinity for live ones. */
  readonly #removedAtMs = new Map<string, number>();

  #lastAddedMs: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAddedMs = clock.getNow();
  }

  upsert(entry: EntryRecord): void {
    if (!this.#removedAtMs.has(entry.name)) this.#lastAddedMs = this.#clock.getNow();
    this.#entries.set(entry.name, entry);
    this.#removedAtMs.set(entry.name, Infinity);
  }

  remove(name: string): void {
    if (!this.#entries.delete(name)) return;
    this.#removedAtMs.set(name, this.#clock.getNow());
  }

  replaceAll(entries: readonly EntryRecord[]): void {
    const present = new Set(entries.map(({ name }) => name));
    for (const name of [...this.#entries.keys()]) if (!present.has(name)) this.remove(name);
    for (const entry of entries) this.upsert(entry);
  }

  listEntries(): readonly EntryRecord[] {
    return [...this.#entries.values()];
  }

  /** Counts the entries that share a common limit. */
  countSharingEntries(): number {
    this.#expireDeparted();
    return this.#removedAtMs.size === 0 ? DEFAULT_ENTRY_COUNT : this.#removedAtMs.size;
  }

  /** Lists the names of the entries that share a common limit. */
  listSharingNames(): string[] {
    this.#expireDeparted();
    return [...this.#removedAtMs.keys()];
  }

  /** Returns whether entries are known and no further one has appeared recently. */
  isSettled(): boolean {
    return this.#removedAtMs.size > 0 && this.#clock.getNow() - this.#lastAddedMs >= SETTLING_MS;
  }

  #expireDeparted(): void {
    const nowMs = this.#clock.getNow();
    for (const [name, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs > DEPARTED_ENTRY_RETENTION_MS) this.#removedAtMs.delete(name);
    }
  }
}
