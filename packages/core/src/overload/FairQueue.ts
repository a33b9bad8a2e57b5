import { FairPriorityLevel } from './FairPriorityLevel.js';
import type { QueueEntry } from './QueueEntry.js';

const LEVEL_COUNT = 3;
/** Width of a bucket of the index by latest start. */
const BUCKET_MS = 32;

function findBucket(latestStartMs: number): number {
  return Math.floor(latestStartMs / BUCKET_MS);
}

/** Queue ordered by priority, then by fair shares of workspaces, then by deadline. */
export class FairQueue<T extends QueueEntry> {
  readonly #levels: FairPriorityLevel<T>[] = [];

  readonly #entries = new Map<string, T>();

  /** Entries by bucket of their latest start, to find expired ones without a search. */
  readonly #byLatestStart = new Map<number, Set<T>>();

  /** Lowest bucket that may hold entries. */
  #firstBucket = Infinity;

  constructor() {
    while (this.#levels.length < LEVEL_COUNT) this.#levels.push(new FairPriorityLevel());
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
  countLanes(): number {
    let active = 0;
    for (const level of this.#levels) active += level.countWorkspaces();
    return active;
  }

  get(id: string): T | undefined {
    return this.#entries.get(id);
  }

  enqueue(entry: T): void {
    this.#getLevel(entry.level).enqueue(entry);
    this.#entries.set(entry.id, entry);
    const bucket = findBucket(entry.latestStartMs);
    const sameBucket = this.#byLatestStart.get(bucket);
    if (sameBucket === undefined) this.#byLatestStart.set(bucket, new Set([entry]));
    else sameBucket.add(entry);
    this.#firstBucket = Math.min(this.#firstBucket, bucket);
  }

  /** Removes and returns the next entry in the order of service; null when the queue is empty. */
  dequeue(): T | null {
    for (const level of this.#levels) {
      const entry = level.dequeue();
      if (entry === null) continue;
      this.#removeFromIndexes(entry);
      return entry;
    }
    return null;
  }

  remove(id: string): T | null {
    const entry = this.#entries.get(id);
    if (entry === undefined) return null;
    this.#getLevel(entry.level).remove(entry);
    this.#removeFromIndexes(entry);
    return entry;
  }

  /** Removes and returns all entries in the order of service. */
  drain(): T[] {
    const entries: T[] = [];
    for (let entry = this.dequeue(); entry !== null; entry = this.dequeue()) entries.push(entry);
    return entries;
  }

  /**
   * Frees a slot for a new entry by evicting an entry of a lower priority, or one of the same
   * priority from a workspace with more entries.
   *
   * @returns the evicted entry, or null if the new entry must be refused instead
   */
  evictFor(entry: T): T | null {
    for (let index = LEVEL_COUNT - 1; index >= entry.level; index -= 1) {
      const level = this.#getLevel(index);
      if (level.getSize() === 0) continue;
      const hasLongerLane = level.getLaneLength(entry.workspace) + 1 < level.getLongestLength();
      if (index === entry.level && !hasLongerLane) return null;
      const evicted = level.evict();
      if (evicted !== null) this.#removeFromIndexes(evicted);
      return evicted;
    }
    return null;
  }

  /** Removes and returns the entries that can no longer meet their deadline. */
  removeExpired(nowMs: number): T[] {
    const expired: T[] = [];
    const lastBucket = findBucket(nowMs);
    while (this.#firstBucket <= lastBucket) {
      for (const entry of this.#byLatestStart.get(this.#firstBucket) ?? []) {
        if (entry.latestStartMs < nowMs) expired.push(entry);
      }
      if (this.#firstBucket === lastBucket) break;
      this.#firstBucket += 1;
    }
    for (const entry of expired) this.remove(entry.id);
    return expired;
  }

  /** Removes and returns the entries for which `isStale` returns true. */
  removeStale(isStale: (entry: T) => boolean): T[] {
    const stale: T[] = [];
    for (const entry of this.#entries.values()) {
      if (isStale(entry)) stale.push(entry);
    }
    for (const entry of stale) this.remove(entry.id);
    return stale;
  }

  /** Estimates the cost that is served before a new entry. */
  estimateCostAhead(entry: T): number {
    let ahead = 0;
    for (let index = 0; index < entry.level; index += 1) ahead += this.#getLevel(index).getCost();
    return ahead + this.#getLevel(entry.level).estimateCostAhead(entry);
  }

  /** Removes an entry from the indexes by id and by latest start. */
  #removeFromIndexes(entry: T): void {
    this.#entries.delete(entry.id);
    const bucket = findBucket(entry.latestStartMs);
    const sameBucket = this.#byLatestStart.get(bucket);
    sameBucket?.delete(entry);
    if (sameBucket?.size === 0) this.#byLatestStart.delete(bucket);
    if (this.#entries.size === 0) this.#firstBucket = Infinity;
  }

  #getLevel(index: number): FairPriorityLevel<T> {
    return this.#levels[Math.min(index, LEVEL_COUNT - 1)] as FairPriorityLevel<T>;
  }
}
