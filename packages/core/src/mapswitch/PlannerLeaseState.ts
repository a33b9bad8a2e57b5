import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';

/** A planner's view of its lease. */
export interface PlannerLeaseState {
  /** Time of the holder's monotonic clock at which it must stop acting, milliseconds. */
  readonly heldUntilMs: number;
  readonly epoch: Epoch;
  /** Revision of the planner record; a condition of all later writes. */
  readonly revision: Revision;
}
