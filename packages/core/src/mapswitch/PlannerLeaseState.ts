import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';

/** What a planner knows of its lease. */
export interface PlannerLeaseState {
  /** Monotonic milliseconds of the holder's own clock at which it stops. */
  readonly heldUntilMs: number;
  readonly epoch: Epoch;
  /** Revision of the planner record; conditions of later writes name it. */
  readonly revision: Revision;
}
