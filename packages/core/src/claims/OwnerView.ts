import type { ClaimOwner } from './ClaimOwner.js';

/** Answers whether incarnations of other agents have ended, as far as this process knows. */
export interface OwnerView {
  /**
   * Whether that incarnation of the agent has ended: a higher incarnation was seen, or the instance
   * list no longer holds the instance. A wrong `true` costs a caller the stored outcome; it never
   * leads to a second run.
   */
  hasEnded(owner: ClaimOwner): boolean;
}
