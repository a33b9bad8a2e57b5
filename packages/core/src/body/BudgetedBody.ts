/** A body in memory, as its budget sees it. */
export interface BudgetedBody {
  /** Whether the body is in use, so that it counts but cannot be dropped; false if absent. */
  isPinned?(): boolean;
  /** Drops the body, because all bodies together take too much memory. */
  evict(): void;
}
