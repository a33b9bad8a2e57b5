/** Cost parameters of an expert map change, and the effect of skew on step time. */
export interface ChangeCost {
  /** Bytes of one copy of one expert. */
  readonly bytesPerCopy: number;
  /** Read rate of the weight store for the group, bytes per second. */
  readonly weightBytesPerSecond: number;
  /** Group-seconds lost per second of loading: it slows steps and other readers of the store. */
  readonly lossPerLoadSecond: number;
  /** Expected time for which the group stalls at a switch, seconds. */
  readonly stallSeconds: number;
  /** Share of the step time at perfect balance that scales with the slowest rank's load, 0 to 1. */
  readonly expertShare: number;
  /** Copies that a rank has memory to load in addition to its running ones. */
  readonly maxLoadsPerRank: number;
}
