/** Limits of a `ClaimLedger`. */
export interface ClaimOptions {
  /** Time for which the record of a key is kept. */
  readonly retentionMs: number;
  /** Largest outcome body that is stored. */
  readonly bodyBytes: number;
  /** Size limit of the cache of recent outcomes, and of outcomes not yet written to the store. */
  readonly cacheBytes: number;
  /** Keys in progress at once; more are refused as `overloaded`. */
  readonly maxKeys: number;
  /** Writes in a batch. etcd refuses transactions of more than 128 operations by default. */
  readonly maxBatch: number;
  /** Bytes in a batch. etcd refuses requests of more than 1.5 MiB by default. */
  readonly batchBytes: number;
  /** A store call without an answer for this long counts as unanswered, and is retried. */
  readonly callTimeoutMs: number;
  /**
   * A request that waits this long for the store to confirm its claim is refused. Once the store
   * has been unavailable for this long, requests with new keys are refused at once, so that they
   * occupy no slots.
   */
  readonly storeWaitMs: number;
  /**
   * Maximum time for which an outcome waits for another batch to join while the write budget is
   * low.
   */
  readonly outcomeDelayMs: number;
  /** Minimum and maximum interval between two reads of a claim of another agent. */
  readonly pollMs: readonly [number, number];
  /** An owner that has stored no outcome this long after the deadline counts as ended. */
  readonly ownerGraceMs: number;
  /** Claims that begin in one period of this length share a lease. */
  readonly bucketMs: number;
  /** Tolerated difference between wall clocks. */
  readonly skewMs: number;
}
