/** A claim of this agent on a key. Only the `ClaimLedger` that created it accepts it. */
export interface Claim {
  /** Key of the record at the store. */
  readonly storeKey: string;
  /**
   * Identifies the claim's own writes in the store after a call without an answer; unique across
   * all incarnations of all agents.
   */
  readonly operationId: string;
  /** The request must be dispatched before this time, monotonic milliseconds. */
  readonly deadlineAtMs: number;
}
