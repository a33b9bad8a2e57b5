/** Properties of an item by which `FairQueue` orders and evicts it. */
export interface QueueEntry {
  /** Unique in the queue. */
  readonly id: string;
  readonly workspace: string;
  /** Priority level; 0 is served first. */
  readonly level: number;
  /** Estimated cost, at least 1. */
  readonly cost: number;
  /** Monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Latest start that can still meet the deadline, monotonic milliseconds. */
  readonly latestStartMs: number;
}
