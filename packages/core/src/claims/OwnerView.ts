import type { ClaimOwner } from './ClaimOwner.js';

/** What this process knows about the lives of other agents. */
export interface OwnerView {
  /**
   * Whether that life of the agent has ended: a higher incarnation was seen, or the instance list
   * no longer holds the instance. A wrong `true` costs a caller the stored outcome; it never leads
   * to a second run.
   */
  hasEnded(owner: ClaimOwner): boolean;
}
