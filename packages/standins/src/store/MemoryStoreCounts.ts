/** Calls that a `MemoryStore` received. Each method counts as one call. */
export interface MemoryStoreCounts {
  readonly reads: number;
  /** Transactions with at least one write. */
  readonly writes: number;
  /** Transactions that only compare revisions. */
  readonly comparisons: number;
  readonly leases: number;
  readonly watches: number;
}
