/** What a change of the expert map costs and how step time depends on balance. */
export interface ChangeCost {
  /** Bytes of one copy of one expert. */
  readonly bytesPerCopy: number;
  /** Rate at which the weight store serves the group, bytes a second. */
  readonly weightBytesPerSecond: number;
  /** Group-seconds that a second of loading costs: slower steps, and the store's other readers. */
  readonly lossPerLoadSecond: number;
  /** Expected stall of a switch, seconds. */
  readonly stallSeconds: number;
  /** Share of the step time, at perfect balance, that grows with the slowest rank's load. */
  readonly expertShare: number;
  /** Memory for weights that a rank loads beside its running ones, in copies. */
  readonly maxLoadsPerRank: number;
}
