import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { ClaimRequest } from './ClaimRequest.js';
import type { ClaimDecision } from './ClaimDecision.js';

/** A request that waits for the result of `ClaimLedger.begin`. */
export interface ClaimWaiter {
  readonly request: ClaimRequest;
  /**
   * The deadline as Unix milliseconds; the monotonic clock may stop while a machine is suspended.
   */
  readonly deadlineWallMs: number;
  /** Monotonic time at which the wait for the store's confirmation of the claim ends. */
  readonly storeWaitEndMs: number;
  readonly resolve: (result: Result<ClaimDecision, Failure>) => void;
}
