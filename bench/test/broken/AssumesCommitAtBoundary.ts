import { StepGate } from '@limpetbay/core';
import type { MapRecord } from '@limpetbay/core';

/** Broken rule: a rank at the boundary uses the new map without a decision. */
export class AssumesCommitAtBoundary extends StepGate {
  protected override trimGrant(until: number): number {
    const { record, engineStep } = this.getState();
    // Stops the grants at the boundary first; assumes a commit once the engine is there.
    return record !== null && engineStep >= record.boundary ? until : super.trimGrant(until);
  }

  protected override chooseVersion(record: MapRecord): number {
    return record.status === 'abandoned' ? record.previous.version : record.map.version;
  }
}
