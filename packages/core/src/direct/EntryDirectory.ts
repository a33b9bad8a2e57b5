import type { Clock } from '../clock/Clock.js';
import { combineHashes } from '../routing/combineHashes.js';
import { hashText } from '../routing/hashText.js';
import type { EntryRecord } from './EntryRecord.js';

/** How long a departed entry still counts for shares, milliseconds. */
const DEPARTED_ENTRY_RETENTION_MS = 20_000;

/** Entries of a deployment start within this time of each other, milliseconds. */
const SETTLING_MS = 1000;

/**
 * Time for an entry to register again after the store was restored or was away: its next renewal,
 * its calls, and the delay until this process sees the registration, milliseconds.
 */
const REGISTRATION_GRACE_MS = 2000;

/** The registrations of a fleet are spread by this per entry, milliseconds. */
const GRACE_PER_ENTRY_MS = 4;

/**
 * A registration that returns from a copy of the store expires with its lease within this time if
 * its entry is gone, milliseconds.
 */
const RETURNED_HOLD_MS = 3500;

interface ReturnedEntry {
  readonly entry: EntryRecord;
  /** From when on it is listed, monotonic milliseconds. */
  readonly fromMs: number;
}

/** Assumed while no entry is known; high, so that shares are too small rather than too large. */
const DEFAULT_ENTRY_COUNT = 16;

/** The live entries: where callers can connect, and among how many entries a limit is shared. */
export class EntryDirectory {
  readonly #clock: Clock;

  readonly #entries = new Map<string, EntryRecord>();

  /** When each entry was removed, by name, monotonic milliseconds; Infinity for live ones. */
  readonly #removedAtMs = new Map<string, number>();

  /**
   * Entries whose registrations were lost with the store or lapsed while it was away, and until when
   * they are listed, monotonic milliseconds.
   */
  readonly #missingUntilMs = new Map<string, number>();

  /** Entries that were gone and that a restored store names as registered, by name. */
  readonly #returned = new Map<string, ReturnedEntry>();

  #lastAddedMs: number;

  #isStoreDown = false;

  /** Until when a registration that is removed may only have lapsed, monotonic milliseconds. */
  #graceEndMs = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastAddedMs = clock.getNow();
  }

  upsert(entry: EntryRecord): void {
    if (!this.#removedAtMs.has(entry.name)) this.#lastAddedMs = this.#clock.getNow();
    this.#entries.set(entry.name, entry);
    this.#removedAtMs.set(entry.name, Infinity);
    this.#missingUntilMs.delete(entry.name);
    this.#returned.delete(entry.name);
  }

  /**
   * Handles a removed registration. Right after an outage of the store it may only have lapsed.
   *
   * @returns how long the entry remains listed, milliseconds
   */
  remove(name: string): number {
    this.#returned.delete(name);
    if (!this.#entries.has(name)) return 0;
    // Each removal is learned once: neither a further outage nor a further read extends the time.
    const untilMs = this.#missingUntilMs.get(name) ?? this.#graceEndMs;
    const nowMs = this.#clock.getNow();
    if (nowMs >= untilMs) {
      this.#delete(name);
      return 0;
    }
    this.#missingUntilMs.set(name, untilMs);
    return untilMs - nowMs;
  }

  #delete(name: string): void {
    this.#missingUntilMs.delete(name);
    this.#entries.delete(name);
    this.#removedAtMs.set(name, this.#clock.getNow());
  }

  /** Records whether the store is down; the grace period begins when it is available again. */
  setStoreUnavailable(isDown: boolean): void {
    if (this.#isStoreDown && !isDown) this.#startGrace();
    this.#isStoreDown = isDown;
  }

  #startGrace(): void {
    const graceMs = REGISTRATION_GRACE_MS + GRACE_PER_ENTRY_MS * this.#entries.size;
    this.#graceEndMs = this.#clock.getNow() + graceMs;
  }

  /**
   * Replaces all entries by those of a full read.
   *
   * @param invalidNames entries whose registrations are not valid; the last valid ones hold, because
   *   entries renew only the lease of their registrations
   */
  replaceAll(entries: readonly EntryRecord[], invalidNames: ReadonlySet<string> = new Set()): void {
    this.#returned.clear();
    this.#removeAbsent([...entries.map(({ name }) => name), ...invalidNames]);
    for (const entry of entries) this.upsert(entry);
  }

  #removeAbsent(names: readonly string[]): void {
    const present = new Set(names);
    for (const name of [...this.#entries.keys()]) if (!present.has(name)) this.remove(name);
  }

  /**
   * Replaces all entries by those of a store that was restored from a copy. Entries that the copy
   * lacks get time to register again; those that were gone before are not listed until they do.
   */
  restore(entries: readonly EntryRecord[]): void {
    const nowMs = this.#clock.getNow();
    this.#startGrace();
    this.#removeAbsent(entries.map(({ name }) => name));
    this.#returned.clear();
    for (const entry of entries) {
      const removedAtMs = this.#removedAtMs.get(entry.name) ?? Infinity;
      if (removedAtMs === Infinity) this.upsert(entry);
      else this.#returned.set(entry.name, { entry, fromMs: nowMs + RETURNED_HOLD_MS });
    }
  }

  listEntries(): readonly EntryRecord[] {
    this.#expireMissing();
    return [...this.#entries.values()];
  }

  /**
   * Returns the place of an entry in the order in which entries take over the work on a key; 0 is
   * first. Entries that know each other compute the same order.
   */
  rank(name: string, key: string): number {
    const keyHash = hashText(key);
    const ownScore = combineHashes(hashText(name), keyHash);
    let rank = 0;
    for (const entry of this.listEntries()) {
      if (combineHashes(hashText(entry.name), keyHash) > ownScore) rank += 1;
    }
    return rank;
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

  #expireMissing(): void {
    const nowMs = this.#clock.getNow();
    for (const [name, untilMs] of this.#missingUntilMs) if (nowMs >= untilMs) this.#delete(name);
    for (const { entry, fromMs } of this.#returned.values()) {
      if (nowMs >= fromMs) this.upsert(entry);
    }
  }

  #expireDeparted(): void {
    const nowMs = this.#clock.getNow();
    for (const [name, removedAtMs] of this.#removedAtMs) {
      if (nowMs - removedAtMs > DEPARTED_ENTRY_RETENTION_MS) this.#removedAtMs.delete(name);
    }
  }
}
