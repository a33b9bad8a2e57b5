/** Counters of a `ClaimLedger` for metrics. */
export interface ClaimCounts {
  /** Claims that were given out. */
  readonly claimed: number;
  readonly replayed: number;
  readonly refused: number;
  /** Outcomes that could not be stored, because the record or its lease was gone. */
  readonly lostOutcomes: number;
  /** Keys in progress here. */
  readonly open: number;
}
