import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: Counts the promise of any incarnation. */
export class CountsOldPromises extends MapSwitchPlanner {
  protected override isCurrentPromise(): boolean {
    return true;
  }
}
