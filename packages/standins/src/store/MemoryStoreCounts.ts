/** Number of calls that a `MemoryStore` received, by kind. */
export interface MemoryStoreCounts {
  readonly reads: number;
  /** Transactions with at least one write. */
  readonly writes: number;
  /** Transactions that only compare revisions. */
  readonly comparisons: number;
  /** Grants, renewals and revocations of leases. */
  readonly leases: number;
  readonly watches: number;
}
