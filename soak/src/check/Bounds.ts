/** Bounds of the rules, milliseconds. */
export interface Bounds {
  /** Effects of a fault are excused for this time after its end, milliseconds. */
  readonly stableWindowMs: number;
  readonly graceMs: number;
  /** A target gets no request later than this after its leaving was stored, milliseconds. */
  readonly drainMs: number;
  /** A request counts as read if its connection ends later than this after its last byte. */
  readonly lossSlackMs: number;
}
