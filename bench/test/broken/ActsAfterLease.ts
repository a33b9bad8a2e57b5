import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: the planner acts without checking that it holds the lease. */
export class ActsAfterLease extends MapSwitchPlanner {
  protected override isLeaseHeld(): boolean {
    return true;
  }
}
