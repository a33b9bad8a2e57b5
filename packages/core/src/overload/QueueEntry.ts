/** What the queue needs to know about an item. */
export interface QueueEntry {
  /** Unique in the queue. */
  readonly id: string;
  readonly workspace: string;
  /** 0 is served first. */
  readonly level: number;
  /** Estimated cost, at least 1. */
  readonly cost: number;
  /** Absolute, monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Latest start with which the deadline can be met, monotonic milliseconds. */
  readonly latestStartMs: number;
}
