import { StepGate } from '@limpetbay/core';

/** Broken rule: Promises for records that name incarnations that are gone. */
export class AcceptsOldIncarnations extends StepGate {
  protected override hasCurrentIncarnations(): boolean {
    return true;
  }
}
