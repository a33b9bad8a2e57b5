import { StepGate } from '@limpetbay/core';
import type { MapRecord } from '@limpetbay/core';

/** Broken rule: Goes on with the new map when it reaches the boundary without a decision. */
export class GuessesAtBoundary extends StepGate {
  protected override trimGrant(until: number): number {
    const { record, engineStep } = this.getState();
    // Waits at the boundary like the rule, then takes it that the planner has decided.
    return record !== null && engineStep >= record.boundary ? until : super.trimGrant(until);
  }

  protected override chooseVersion(record: MapRecord): number {
    return record.status === 'abandoned' ? record.previous.version : record.map.version;
  }
}
