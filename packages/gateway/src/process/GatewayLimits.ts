/** Limits set by the deployment; the retry limits apply to all entries together. */
export interface GatewayLimits {
  /** Retries allowed per request of a service. */
  readonly retryRatio: number;
  /** Burst of retries allowed in addition, summed over all entries. */
  readonly retryBurst: number;
  /** Time from the stop signal to the forced end of the process, milliseconds. */
  readonly graceMs: number;
  /** Time after which a target that states that it leaves gets no requests, milliseconds. */
  readonly drainMs: number;
  /** How long callers cache the list of addresses, milliseconds. */
  readonly addressTtlMs: number;
  /** Memory of the process, beyond which the deployment may end it, bytes; unknown if absent. */
  readonly memoryLimitBytes?: number | null;
  /** Most open descriptors of the process; unknown if absent. */
  readonly maxDescriptors?: number;
  /** Whether targets that have just started or recovered are given requests at a pace; no if absent. */
  readonly pacesTargets?: boolean;
  /** Whether workspaces of one priority share scarce capacity fairly; no if absent. */
  readonly sharesByWorkspace?: boolean;
}
