import { StepGate } from '@limpetbay/core';

/** Broken rule: Starts with floor 0 after each restart. */
export class ForgetsFloor extends StepGate {
  protected override resetMinEpoch(): void {}
}
