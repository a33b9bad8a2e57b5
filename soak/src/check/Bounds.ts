/** Bounds of the rules, milliseconds. */
export interface Bounds {
  /** Effects of a disturbance are excused for so long after its end. */
  readonly stableWindowMs: number;
  readonly graceMs: number;
  /** A request counts as read if its connection ends later than this after its last byte. */
  readonly lossSlackMs: number;
}
