/** Limits of a `ClaimLedger`. */
export interface ClaimOptions {
  /** How long a key is remembered. */
  readonly retentionMs: number;
  /** Largest outcome body that is stored. */
  readonly bodyBytes: number;
  /** Memory for recent outcomes. */
  readonly memoryBytes: number;
  /** Keys in progress at once; more are refused as `overloaded`. */
  readonly maxKeys: number;
  /** Orders in a batch. etcd refuses transactions of more than 128 operations by default. */
  readonly maxBatch: number;
  /** Bytes in a batch. etcd refuses requests of more than 1.5 MiB by default. */
  readonly batchBytes: number;
  /** A store call without an answer for this long counts as lost. */
  readonly callTimeoutMs: number;
  /**
   * A request that waits this long for the store to confirm its claim is refused. Once the store has
   * been out for this long, requests with new keys are refused at once, so that they hold no slots.
   */
  readonly storeWaitMs: number;
  /** Most time for which an outcome waits for a batch with claims while the budget is short. */
  readonly outcomeDelayMs: number;
  /** Least and most time between two looks at a claim of another agent. */
  readonly pollMs: readonly [number, number];
  /** An owner without an outcome this long after its deadline counts as gone. */
  readonly ownerGraceMs: number;
  /** Claims that begin in one such period share a lease. */
  readonly bucketMs: number;
  /** Difference of wall clocks that is tolerated. */
  readonly skewMs: number;
}
