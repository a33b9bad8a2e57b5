/** How a target did in one window. */
export interface UsageSummary {
  readonly lengthMs: number;
  /** Samples of any kind: finished requests and step reports. */
  readonly samples: number;
  /** Median of pace over warm pace; null without comparable samples. */
  readonly paceRatio: number | null;
  /** Failed requests over finished requests. */
  readonly errorShare: number;
  /** Share of the time in which all granted slots were taken. */
  readonly atLimitShare: number;
  /** Most requests seen waiting inside the target. */
  readonly waiting: number;
}
