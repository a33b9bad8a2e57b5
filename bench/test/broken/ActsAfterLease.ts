import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: Never asks whether it holds the lease. */
export class ActsAfterLease extends MapSwitchPlanner {
  protected override isLeaseHeld(): boolean {
    return true;
  }
}
