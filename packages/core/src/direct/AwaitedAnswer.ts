import type { DirectRoute } from './DirectRoute.js';

/** The state of a request that decides what the answer of an attempt means for it. */
export interface AwaitedAnswer {
  readonly route: Pick<DirectRoute, 'kind'>;
  /** Id of the request; empty where the caller sent none. */
  readonly requestId: string;
  /** Id of the event after which the attempt resumes a stream; null if it does not. */
  readonly resumedAfter: string | null;
  /** Whether the caller's answer has begun with events of earlier attempts. */
  readonly hasBegun: boolean;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
}
