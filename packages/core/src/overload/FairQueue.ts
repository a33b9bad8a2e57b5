import { FairLevel } from './FairLevel.js';
import type { QueueEntry } from './QueueEntry.js';

const LEVELS = 3;
const BUCKET_MS = 32;

function findBucket(latestStartMs: number): number {
  return Math.floor(latestStartMs / BUCKET_MS);
}

/** A queue ordered by priority, then by fair shares of workspaces, then by deadline. */
export class FairQueue<T extends QueueEntry> {
  readonly #levels: FairLevel<T>[] = [];

  readonly #entries = new Map<string, T>();

  /** Entries by latest start, so that finding the expired ones does not search the queue. */
  readonly #byStart = new Map<number, Set<T>>();

  /** First bucket that may hold entries. */
  #firstBucket = Infinity;

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

  /** Returns the number of lanes: workspaces with entries, counted once per priority. */
  getActive(): number {
    let active = 0;
    for (const level of this.#levels) active += level.getActive();
    return active;
  }

  get(id: string): T | undefined {
    return this.#entries.get(id);
  }

  enqueue(entry: T): void {
    this.#getLevel(entry.level).enqueue(entry);
    this.#entries.set(entry.id, entry);
    const bucket = findBucket(entry.latestStartMs);
    const known = this.#byStart.get(bucket);
    if (known === undefined) this.#byStart.set(bucket, new Set([entry]));
    else known.add(entry);
    this.#firstBucket = Math.min(this.#firstBucket, bucket);
  }

  take(): T | null {
    for (const level of this.#levels) {
      const entry = level.take();
      if (entry === null) continue;
      this.#forget(entry);
      return entry;
    }
    return null;
  }

  remove(id: string): T | null {
    const entry = this.#entries.get(id);
    if (entry === undefined) return null;
    this.#getLevel(entry.level).remove(entry);
    this.#forget(entry);
    return entry;
  }

  /** Removes and returns all entries, first to be served first. */
  drain(): T[] {
    const entries: T[] = [];
    for (let entry = this.take(); entry !== null; entry = this.take()) entries.push(entry);
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
      if (evicted !== null) this.#forget(evicted);
      return evicted;
    }
    return null;
  }

  /** Removes and returns the entries that can no longer meet their deadline. */
  takeExpired(nowMs: number): T[] {
    const expired: T[] = [];
    const last = findBucket(nowMs);
    while (this.#firstBucket <= last) {
      for (const entry of this.#byStart.get(this.#firstBucket) ?? []) {
        if (entry.latestStartMs < nowMs) expired.push(entry);
      }
      if (this.#firstBucket === last) break;
      this.#firstBucket += 1;
    }
    for (const entry of expired) this.remove(entry.id);
    return expired;
  }

  /** Removes and returns the entries for which `isStale` holds. */
  takeStale(isStale: (entry: T) => boolean): T[] {
    const stale: T[] = [];
    for (const entry of this.#entries.values()) {
      if (isStale(entry)) stale.push(entry);
    }
    for (const entry of stale) this.remove(entry.id);
    return stale;
  }

  /** Estimates the cost that is served before a new entry. */
  estimateAhead(entry: T): number {
    let ahead = 0;
    for (let index = 0; index < entry.level; index += 1) ahead += this.#getLevel(index).getCost();
    return ahead + this.#getLevel(entry.level).estimateAhead(entry);
  }

  #forget(entry: T): void {
    this.#entries.delete(entry.id);
    const bucket = findBucket(entry.latestStartMs);
    const known = this.#byStart.get(bucket);
    known?.delete(entry);
    if (known?.size === 0) this.#byStart.delete(bucket);
    if (this.#entries.size === 0) this.#firstBucket = Infinity;
  }

  #getLevel(index: number): FairLevel<T> {
    return this.#levels[Math.min(index, LEVELS - 1)] as FairLevel<T>;
  }
}
