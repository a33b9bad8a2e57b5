/** How a target's pace depends on its concurrency and warmth. */
export interface TargetShape {
  /** Concurrency with the best throughput once warm. */
  readonly knee: number;
  /** The same when stone cold. */
  readonly coldKnee: number;
  /** Speed when stone cold, as a share of the warm speed. */
  readonly coldSpeed: number;
  /** Time until warm, milliseconds. */
  readonly warmUpMs: number;
  /**
   * `batch`: steps grow with the batch to twice the idle step at the knee, and beyond it KV
   * memory runs out and throughput falls with the square of the excess. `pool`: a fixed number of
   * workers; beyond the knee requests share them.
   */
  readonly kind: 'batch' | 'pool';
}
