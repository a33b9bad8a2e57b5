import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: the planner commits with the first promise, before all ranks have promised. */
export class CommitsEarly extends MapSwitchPlanner {
  protected override hasEnoughPromises(promised: readonly boolean[]): boolean {
    return promised.some(Boolean);
  }
}
