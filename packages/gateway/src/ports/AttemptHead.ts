/** Values that an entry adds to the head of a request to a target. */
export interface AttemptHead {
  /** Id of the intended target; another target at the same address rejects the request. */
  readonly targetId: string;
  /** Time left until the deadline, milliseconds. */
  readonly timeoutMs: number;
  readonly workspace: string | null;
  /** 0 is the most urgent; null to leave the order to the target. */
  readonly priority: number | null;
  /** Id of the event after which to resume a stream; null to keep what the caller sent. */
  readonly lastEventId: string | null;
}
