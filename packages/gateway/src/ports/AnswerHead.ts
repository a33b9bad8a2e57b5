/** Parsed head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the answered request; null if the head has none. */
  readonly requestId: string | null;
  /** Whether the answer carries the signature of the target. */
  readonly isSigned: boolean;
  /** Whether the target declares that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another target now uses this address. */
  readonly isMisdirected: boolean;
  /**
   * Requests a second that the target takes from all entries together; null where it names no
   * limit, `invalid` where it names one that cannot be read.
   */
  readonly rateLimit: number | null | 'invalid';
  /** Headers to forward to the caller, as alternating names and values. */
  readonly forwarded: readonly string[];
}
