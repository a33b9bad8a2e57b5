/** One change of a placement: a copy that a rank gets, one that it gives up, or both. */
export interface ReplicaStep {
  readonly rank: number;
  readonly add: number | null;
  readonly drop: number | null;
  /** Experts that the rank has to load for it. */
  readonly copies: number;
  /** Decrease of the weighted rank loads. */
  readonly gain: number;
}
