import { FairLevel } from './FairLevel.js';
import type { QueueEntry } from './QueueEntry.js';

const LEVELS = 3;

/** A queue ordered by priority, then by fair shares of workspaces, then by deadline. */
export class FairQueue<T extends QueueEntry> {
  readonly #levels: FairLevel<T>[] = [];

  readonly #entries = new Map<string, T>();

  /** Lower bound of all latest starts, so that `takeExpired` can return without a search. */
  #earliestStartMs = Infinity;

  constructor() {
    while (this.#levels.length < LEVELS) this.#levels.push(new FairLevel());
  }

  getSize(): number {
    return this.#entries.size;
  }

  getCost(): number {
    let cost = 0;
    for (const level of this.#levels) cost += level.getCost();
    return cost;
  }

  get(id: string): T | undefined {
    return this.#entries.get(id);
  }

  enqueue(entry: T): void {
    this.#getLevel(entry.level).enqueue(entry);
    this.#entries.set(entry.id, entry);
    this.#earliestStartMs = Math.min(this.#earliestStartMs, entry.latestStartMs);
  }

  take(): T | null {
    for (const level of this.#levels) {
      const entry = level.take();
      if (entry === null) continue;
      this.#entries.delete(entry.id);
      return entry;
    }
    return null;
  }

  remove(id: string): T | null {
    const entry = this.#entries.get(id);
    if (entry === undefined) return null;
    this.#getLevel(entry.level).remove(entry);
    this.#entries.delete(id);
    return entry;
  }

  /** Removes and returns all entries, first to be served first. */
  drain(): T[] {
    const entries: T[] = [];
    for (let entry = this.take(); entry !== null; entry = this.take()) entries.push(entry);
    this.#earliestStartMs = Infinity;
    return entries;
  }

  /**
   * Makes room for an entry by removing one of a lower priority, or one of the same priority
   * from a workspace that holds more of the queue.
   *
   * @returns the removed entry, or null when the new entry is the one that has to go
   */
  evictFor(entry: T): T | null {
    for (let index = LEVELS - 1; index >= entry.level; index -= 1) {
      const level = this.#getLevel(index);
      if (level.getSize() === 0) continue;
      const longer = level.getLaneLength(entry.workspace) + 1 < level.getLongestLength();
      if (index === entry.level && !longer) return null;
      const evicted = level.evict();
      if (evicted !== null) this.#entries.delete(evicted.id);
      return evicted;
    }
    return null;
  }

  /** Removes and returns the entries that can no longer meet their deadline. */
  takeExpired(nowMs: number): T[] {
    if (nowMs <= this.#earliestStartMs) return [];
    const expired: T[] = [];
    let earliest = Infinity;
    for (const entry of this.#entries.values()) {
      if (entry.latestStartMs < nowMs) expired.push(entry);
      else earliest = Math.min(earliest, entry.latestStartMs);
    }
    for (const entry of expired) this.remove(entry.id);
    this.#earliestStartMs = earliest;
    return expired;
  }

  /** Estimates the cost that is served before a new entry. */
  estimateAhead(entry: T): number {
    let ahead = 0;
    for (let index = 0; index < entry.level; index += 1) ahead += this.#getLevel(index).getCost();
    return ahead + this.#getLevel(entry.level).estimateAhead(entry);
  }

  #getLevel(index: number): FairLevel<T> {
    return this.#levels[Math.min(index, LEVELS - 1)] as FairLevel<T>;
  }
}
