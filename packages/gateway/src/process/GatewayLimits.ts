/** Limits that the deployment sets for all entries together. */
export interface GatewayLimits {
  /** Attempts beyond the first that a service may get, as a share of its requests. */
  readonly retryRatio: number;
  /** Such attempts that are allowed beside the share, over all entries. */
  readonly retryBurst: number;
  /** Time from the stop signal to the forced end of the process, milliseconds. */
  readonly graceMs: number;
  /** How long callers keep a list of addresses, milliseconds. */
  readonly addressTtlMs: number;
}
