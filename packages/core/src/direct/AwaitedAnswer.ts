import type { DirectRoute } from './DirectRoute.js';

/** The state of a request that decides what the answer of an attempt means for it. */
export interface AwaitedAnswer {
  readonly route: Pick<DirectRoute, 'kind'>;
  /** Id of the request; empty where the caller sent none. */
  readonly requestId: string;
  /** Whether the attempt resumes a stream, which may then have nothing to add. */
  readonly isResumed: boolean;
  /** Whether an earlier attempt may have run the request. */
  readonly mayHaveRun: boolean;
}
