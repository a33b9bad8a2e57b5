/** A claim on a key that this agent holds. Only the `ClaimLedger` that made it accepts it. */
export interface Claim {
  /** Key of the record at the store. */
  readonly storeKey: string;
  /** Settles a write whose answer was lost; unique over all lives of all agents. */
  readonly operationId: string;
  /** The request must be handed over before this time, monotonic milliseconds. */
  readonly deadlineAtMs: number;
}
