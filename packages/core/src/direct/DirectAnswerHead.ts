/** What the head of a target's answer states. */
export interface DirectAnswerHead {
  readonly status: number;
  /** Id of the answered request; null if the head has none. */
  readonly requestId: string | null;
  /** Whether the answer carries the signature of the target. */
  readonly isSigned: boolean;
  /** Whether the target declares that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another target now uses this address. */
  readonly isMisdirected: boolean;
  /** Whether the target states that it leaves and wants no further requests. */
  readonly isLeaving: boolean;
  /** How long a target that turns requests away wants no others, milliseconds; null if unstated. */
  readonly retryAfterMs: number | null;
}
