/** How a target did in one window. */
export interface UsageSummary {
  readonly lengthMs: number;
  /** Samples of any kind: finished requests and step reports. */
  readonly samples: number;
  /**
   * Whether the samples stand for the window: step times were seen, or about as many requests
   * finished as were in flight. Before that only the short requests have finished.
   */
  readonly complete: boolean;
  /** Median of pace over warm pace; null without comparable samples. */
  readonly paceRatio: number | null;
  /** Mean absolute deviation of the ratios from their median, relative to it. */
  readonly paceSpread: number;
  /** Failed requests over finished requests. */
  readonly errorShare: number;
  /** Mean number of requests in flight. */
  readonly meanInFlight: number;
  /** Whether all granted slots were taken at some instant. */
  readonly reachedLimit: boolean;
  /** Mean share of the granted slots that were taken. */
  readonly meanUse: number;
  /** Most requests seen waiting inside the target. */
  readonly waiting: number;
}
