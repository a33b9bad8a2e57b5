import type { QueueEntry } from './QueueEntry.js';

/** The entries of one workspace. */
interface Lane<T extends QueueEntry> {
  readonly workspace: string;
  /** Latest deadline first, so that the next entry is taken from the end. */
  readonly entries: T[];
  /** Sum of the costs of the entries. */
  cost: number;
  /** Cost that the lane may still be served in this round. */
  deficit: number;
}

/** Weight of a new entry in the moving average cost that serves as the quantum. */
const QUANTUM_AVERAGE_WEIGHT = 0.05;
/** Unused slots kept in the ring, so that it is not copied for every few entries. */
const MAX_UNUSED_RING_SLOTS = 1024;

/**
 * Queue of one priority: deficit round robin between workspaces, earliest deadline first within
 * a workspace. State is kept only for workspaces with entries.
 */
export class FairPriorityLevel<T extends QueueEntry> {
  readonly #lanes = new Map<string, Lane<T>>();

  /** Lanes in the order of service, starting at `#head`; empty ones are skipped. */
  #ring: Lane<T>[] = [];

  #head = 0;

  /** Lanes by number of entries, to find the longest one without a search. */
  readonly #lanesByLength: Set<Lane<T>>[] = [];

  /** Deficit that a lane gains per round: the moving average of the entry cost. */
  #quantum = 0;

  #size = 0;

  #cost = 0;

  getSize(): number {
    return this.#size;
  }

  getCost(): number {
    return this.#cost;
  }

  /** Returns the number of workspaces with entries. */
  countWorkspaces(): number {
    return this.#lanes.size;
  }

  getLaneLength(workspace: string): number {
    return this.#lanes.get(workspace)?.entries.length ?? 0;
  }

  /** Returns the number of entries of the workspace with the most entries. */
  getLongestLength(): number {
    for (let length = this.#lanesByLength.length - 1; length > 0; length -= 1) {
      if ((this.#lanesByLength[length]?.size ?? 0) > 0) return length;
      this.#lanesByLength.length = length;
    }
    return 0;
  }

  enqueue(entry: T): void {
    let lane = this.#lanes.get(entry.workspace);
    if (lane === undefined) {
      lane = { workspace: entry.workspace, entries: [], cost: 0, deficit: 0 };
      this.#lanes.set(entry.workspace, lane);
      this.#removeEmptyLanes();
      this.#ring.push(lane);
    }
    const position = this.#findPosition(lane.entries, entry);
    this.#trackLength(lane, () => lane.entries.splice(position, 0, entry));
    lane.cost += entry.cost;
    this.#size += 1;
    this.#cost += entry.cost;
    this.#quantum +=
      (this.#quantum === 0 ? 1 : QUANTUM_AVERAGE_WEIGHT) * (entry.cost - this.#quantum);
  }

  /** Removes and returns the next entry in fair order; null when the queue is empty. */
  dequeue(): T | null {
    if (this.#size === 0) return null;
    for (;;) {
      let minRounds = Infinity;
      for (let visits = this.#ring.length - this.#head; visits > 0; visits -= 1) {
        const lane = this.#ring[this.#head] as Lane<T>;
        const next = lane.entries[lane.entries.length - 1];
        if (next !== undefined && lane.deficit >= next.cost) {
          lane.deficit -= next.cost;
          this.#removeAt(lane, lane.entries.length - 1);
          return next;
        }
        this.#advanceHead();
        if (next === undefined) continue;
        lane.deficit += this.#quantum;
        minRounds = Math.min(minRounds, (next.cost - lane.deficit) / this.#quantum);
        this.#ring.push(lane);
      }
      // No lane could afford its next entry in this round. Add the deficits of all further rounds
      // without an affordable entry at once.
      const skipped = Math.max(0, Math.ceil(minRounds) - 1);
      if (skipped > 0) {
        for (const lane of this.#lanes.values()) lane.deficit += skipped * this.#quantum;
      }
    }
  }

  /** Removes an entry. @returns false if it is not queued here */
  remove(entry: T): boolean {
    const lane = this.#lanes.get(entry.workspace);
    const index = lane?.entries.indexOf(entry) ?? -1;
    if (lane === undefined || index < 0) return false;
    this.#removeAt(lane, index);
    return true;
  }

  /** Removes the entry with the latest deadline from the workspace with the most entries. */
  evict(): T | null {
    const length = this.getLongestLength();
    const [lane] = this.#lanesByLength[length] ?? [];
    if (lane === undefined) return null;
    const entry = lane.entries[0] as T;
    this.#removeAt(lane, 0);
    return entry;
  }

  /**
   * Estimates the cost that is served before a new entry: its workspace's entries with an earlier
   * deadline, and at most the same cost of every other workspace.
   */
  estimateCostAhead(entry: T): number {
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

  /** Returns the index at which to insert an entry: after all entries with a later deadline. */
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

  /** Removes empty lanes from the ring when they outnumber the active ones. */
  #removeEmptyLanes(): void {
    if (this.#ring.length - this.#head <= 2 * this.#lanes.size + MAX_UNUSED_RING_SLOTS) return;
    const active = this.#ring.slice(this.#head).filter((lane) => lane.entries.length > 0);
    this.#ring = active;
    this.#head = 0;
  }

  /** Moves the head to the next lane; discards the used part of the ring once it is half of it. */
  #advanceHead(): void {
    this.#head += 1;
    if (this.#head < MAX_UNUSED_RING_SLOTS || this.#head * 2 < this.#ring.length) return;
    this.#ring = this.#ring.slice(this.#head);
    this.#head = 0;
  }

  #removeAt(from: Lane<T>, index: number): void {
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

  /** Runs `change` on the entries of a lane and updates the index by length. */
  #trackLength(lane: Lane<T>, change: () => void): void {
    this.#lanesByLength[lane.entries.length]?.delete(lane);
    change();
    const { length } = lane.entries;
    if (length === 0) return;
    while (this.#lanesByLength.length <= length) this.#lanesByLength.push(new Set());
    this.#lanesByLength[length]?.add(lane);
  }
}
