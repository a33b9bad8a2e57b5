/** What an entry adds to a request that it sends to a target. */
export interface AttemptHead {
  /** Target that must run the request; any other one at its address rejects it. */
  readonly targetId: string;
  /** Time that is left, milliseconds. */
  readonly timeoutMs: number;
  readonly workspace: string | null;
  /** 0 is the most urgent; null leaves the order to the target. */
  readonly priority: number | null;
  /** Event after which a broken stream goes on; null leaves what the caller sent. */
  readonly lastEventId: string | null;
}
