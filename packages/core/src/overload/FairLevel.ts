import type { QueueEntry } from './QueueEntry.js';

interface Lane<T extends QueueEntry> {
  readonly workspace: string;
  /** Latest deadline first, so that the next entry is taken from the end. */
  readonly entries: T[];
  cost: number;
  deficit: number;
}

const QUANTUM_WEIGHT = 0.05;
const RING_SLACK = 1024;

/**
 * One priority of the queue: deficit round robin between workspaces, earliest deadline first
 * within a workspace. A workspace has state only while it has entries here.
 */
export class FairLevel<T extends QueueEntry> {
  readonly #lanes = new Map<string, Lane<T>>();

  /** Lanes in the order of service from `#head` on; empty ones are skipped. */
  #ring: Lane<T>[] = [];

  #head = 0;

  /** Workspaces by number of entries, to find the longest lane without a search. */
  readonly #byLength: Set<Lane<T>>[] = [];

  #quantum = 0;

  #size = 0;

  #cost = 0;

  getSize(): number {
    return this.#size;
  }

  getCost(): number {
    return this.#cost;
  }

  /** Returns the number of workspaces that have state here. */
  getActive(): number {
    return this.#lanes.size;
  }

  getLaneLength(workspace: string): number {
    return this.#lanes.get(workspace)?.entries.length ?? 0;
  }

  /** Returns the number of entries of the workspace that has most. */
  getLongestLength(): number {
    for (let length = this.#byLength.length - 1; length > 0; length -= 1) {
      if ((this.#byLength[length]?.size ?? 0) > 0) return length;
      this.#byLength.length = length;
    }
    return 0;
  }

  enqueue(entry: T): void {
    let lane = this.#lanes.get(entry.workspace);
    if (lane === undefined) {
      lane = { workspace: entry.workspace, entries: [], cost: 0, deficit: 0 };
      this.#lanes.set(entry.workspace, lane);
      this.#trim();
      this.#ring.push(lane);
    }
    const position = this.#findPosition(lane.entries, entry);
    this.#trackLength(lane, () => lane.entries.splice(position, 0, entry));
    lane.cost += entry.cost;
    this.#size += 1;
    this.#cost += entry.cost;
    this.#quantum += (this.#quantum === 0 ? 1 : QUANTUM_WEIGHT) * (entry.cost - this.#quantum);
  }

  /** Takes the next entry in fair order. */
  take(): T | null {
    if (this.#size === 0) return null;
    for (;;) {
      let leastRounds = Infinity;
      for (let visits = this.#ring.length - this.#head; visits > 0; visits -= 1) {
        const lane = this.#ring[this.#head] as Lane<T>;
        const next = lane.entries[lane.entries.length - 1];
        if (next !== undefined && lane.deficit >= next.cost) {
          lane.deficit -= next.cost;
          this.#withdraw(lane, lane.entries.length - 1);
          return next;
        }
        this.#advance();
        if (next === undefined) continue;
        lane.deficit += this.#quantum;
        leastRounds = Math.min(leastRounds, (next.cost - lane.deficit) / this.#quantum);
        this.#ring.push(lane);
      }
      // Nothing was affordable in a whole round: skip the rounds in which that stays so.
      const skipped = Math.max(0, Math.ceil(leastRounds) - 1);
      if (skipped > 0) {
        for (const lane of this.#lanes.values()) lane.deficit += skipped * this.#quantum;
      }
    }
  }

  /** Removes an entry; false when it is not here. */
  remove(entry: T): boolean {
    const lane = this.#lanes.get(entry.workspace);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    this.#withdraw(lane, index);
    return true;
  }

  /** Takes the entry with the latest deadline of the workspace that has most entries. */
  evict(): T | null {
    const length = this.getLongestLength();
    const [lane] = this.#byLength[length] ?? [];
    if (lane === undefined) return null;
    const entry = lane.entries[0] as T;
    this.#withdraw(lane, 0);
    return entry;
  }

  /**
   * Estimates the cost that is served before a new entry: all earlier entries of its workspace
   * and at most as much of every other workspace.
   */
  estimateAhead(entry: T): number {
    const lane = this.#lanes.get(entry.workspace);
    let own = 0;
    if (lane !== undefined && lane.entries.length > 0) {
      const later = this.#findPosition(lane.entries, entry);
      own = (lane.cost * (lane.entries.length - later)) / lane.entries.length;
    }
    const otherLanes = this.#lanes.size - (lane === undefined ? 0 : 1);
    const others = this.#cost - (lane?.cost ?? 0);
    return own + Math.min(others, otherLanes * (own + entry.cost));
  }

  /** Finds where an entry goes: behind all entries with a later deadline. */
  #findPosition(entries: readonly T[], entry: T): number {
    let low = 0;
    let high = entries.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      if ((entries[middle] as T).deadlineMs > entry.deadlineMs) low = middle + 1;
      else high = middle;
    }
    return low;
  }

  /** Drops emptied lanes when they outnumber the active ones. */
  #trim(): void {
    if (this.#ring.length - this.#head <= 2 * this.#lanes.size + RING_SLACK) return;
    const active = this.#ring.slice(this.#head).filter((lane) => lane.entries.length > 0);
    this.#ring = active;
    this.#head = 0;
  }

  /** Moves on in the ring and drops its used part now and then. */
  #advance(): void {
    this.#head += 1;
    if (this.#head < RING_SLACK || this.#head * 2 < this.#ring.length) return;
    this.#ring = this.#ring.slice(this.#head);
    this.#head = 0;
  }

  #withdraw(from: Lane<T>, index: number): void {
    const lane = from;
    const entry = lane.entries[index] as T;
    this.#trackLength(lane, () => lane.entries.splice(index, 1));
    lane.cost -= entry.cost;
    this.#size -= 1;
    this.#cost -= entry.cost;
    if (lane.entries.length > 0) return;
    this.#lanes.delete(lane.workspace);
    if (this.#size > 0) return;
    this.#cost = 0;
    this.#ring = [];
    this.#head = 0;
  }

  #trackLength(lane: Lane<T>, change: () => void): void {
    this.#byLength[lane.entries.length]?.delete(lane);
    change();
    const { length } = lane.entries;
    if (length === 0) return;
    while (this.#byLength.length <= length) this.#byLength.push(new Set());
    this.#byLength[length]?.add(lane);
  }
}
