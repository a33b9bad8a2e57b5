/** One change of a rank's copies: adds an expert, drops one, or both. */
export interface ReplicaChange {
  readonly rank: number;
  /** Expert to add, or null. */
  readonly add: number | null;
  /** Expert whose copy is dropped, or null. */
  readonly drop: number | null;
  /** Number of copies that the rank must load: 0 or 1. */
  readonly copies: number;
  /** Decrease of the weighted sum of rank loads. */
  readonly gain: number;
}
