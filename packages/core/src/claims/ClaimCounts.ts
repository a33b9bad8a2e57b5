/** Counters of a `ClaimLedger` for metrics. */
export interface ClaimCounts {
  /** Claims granted to requests. */
  readonly claimed: number;
  readonly replayed: number;
  readonly refused: number;
  /** Outcomes that could not be stored, because the record was changed or its lease had expired. */
  readonly unstoredOutcomes: number;
  /** Keys in progress at this agent. */
  readonly open: number;
}
