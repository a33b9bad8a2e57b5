/** What an entry needs to know of the head of a target's answer. */
export interface AnswerHead {
  readonly status: number;
  /** Id of the request that the target answers; null where it does not say. */
  readonly requestId: string | null;
  /** Whether the target vouches for the answer. */
  readonly isSigned: boolean;
  /** Whether the target declares that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether another target has this address now. */
  readonly isMisdirected: boolean;
  /** Headers that are passed on to the caller, name and value in turn. */
  readonly forwarded: readonly string[];
}
