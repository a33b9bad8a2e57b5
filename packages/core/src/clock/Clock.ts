/** A source of time. Decisions take it as a parameter so that tests can set the time. */
export interface Clock {
  /** Returns monotonic milliseconds since an arbitrary origin. */
  getNow(): number;
  /** Returns the wall-clock time. */
  getWallTime(): Date;
}
