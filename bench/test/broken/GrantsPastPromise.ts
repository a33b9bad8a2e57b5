import { StepGate } from '@limpetbay/core';
import type { MapRecord } from '@limpetbay/core';

/** Broken rule: a rank grants steps past the boundary with the old map after its promise. */
export class GrantsPastPromise extends StepGate {
  protected override trimGrant(until: number): number {
    return until;
  }

  protected override chooseVersion(record: MapRecord): number {
    return record.status === 'committed' ? record.map.version : record.previous.version;
  }
}
