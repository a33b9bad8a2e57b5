import { StepGate } from '@limpetbay/core';

/** Broken rule: a rank promises a record that names expired incarnations. */
export class AcceptsOldIncarnations extends StepGate {
  protected override hasCurrentIncarnations(): boolean {
    return true;
  }
}
