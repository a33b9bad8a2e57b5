/** Measurements of a target in one window. */
export interface UsageSummary {
  readonly lengthMs: number;
  /** Number of samples: finished requests and reported step times. */
  readonly samples: number;
  /**
   * Whether the samples represent the window: step times were reported, or about as many requests
   * finished as were in flight. Before that, only the short requests have finished.
   */
  readonly isRepresentative: boolean;
  /** Median ratio of the service time to the warm value; null without comparable samples. */
  readonly serviceTimeRatio: number | null;
  /** Mean absolute deviation of the ratios from their median, relative to it. */
  readonly serviceTimeSpread: number;
  /** Failed requests divided by finished requests. */
  readonly errorShare: number;
  /** Mean number of requests in flight. */
  readonly meanInFlight: number;
  /** Whether all granted slots were in use at some instant. */
  readonly hasReachedLimit: boolean;
  /** Mean share of the granted slots in use. */
  readonly meanUtilization: number;
  /** Highest reported number of requests waiting inside the target. */
  readonly maxWaiting: number;
}
