import { StepGate } from '@limpetbay/core';

/** Broken rule: a restarted rank does not set its minimum epoch from the store. */
export class IgnoresStoredMinEpoch extends StepGate {
  protected override resetMinEpoch(): void {}
}
