import { MapSwitchPlanner } from '@limpetbay/core';

/** Broken rule: Commits with the first promise. */
export class DecidesEarly extends MapSwitchPlanner {
  protected override hasEnoughPromises(promised: readonly boolean[]): boolean {
    return promised.some(Boolean);
  }
}
