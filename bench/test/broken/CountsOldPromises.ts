import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: the planner counts promises of expired incarnations too. */
export class CountsOldPromises extends MapSwitchPlanner {
  protected override isCurrentPromise(): boolean {
    return true;
  }
}
