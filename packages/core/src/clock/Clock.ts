/** A source of time. It is injected so that tests can control the time. */
export interface Clock {
  /** Returns monotonic milliseconds since an arbitrary origin. */
  getNow(): number;
  /** Returns the wall-clock time. */
  getWallTime(): Date;
}
