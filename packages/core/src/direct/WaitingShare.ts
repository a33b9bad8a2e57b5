/** What a waiting request claims from the share of its workspace. */
export interface WaitingShare {
  /** Equal for requests that are counted against the same share. */
  readonly key: string;
  /** Estimated work of the request, milliseconds of a rank. */
  readonly workMs: number;
  /**
   * Returns by which multiple the workspace exceeds its share; 0 if it does not.
   *
   * @param workAheadMs work of its waiting requests that go first
   */
  readonly getExcess: (workAheadMs: number) => number;
  /** Returns whether free slots are left for requests of others that are within their share. */
  readonly isYielding: () => boolean;
}
