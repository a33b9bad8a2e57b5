import { MapSwitchPlanner, StepGate } from '@limpetbay/core';
import type { SwitchModel } from './SwitchModel.js';

type Config = ConstructorParameters<typeof SwitchModel>[0];

/** Creates a config of the smallest group: two ranks, one planner, two steps and no faults. */
export function createSwitchConfig(change: Partial<Config> = {}): Config {
  return {
    ranks: 2,
    planners: 1,
    window: 1,
    leadSteps: 0,
    lastStep: 1,
    faults: 0,
    faultKinds: ['lose', 'repeat', 'lose answer', 'restart'],
    outages: 0,
    ticks: 0,
    tickLength: 4,
    proposals: 1,
    isPrepareAtomic: true,
    isRecoveryAlwaysAllowed: false,
    Gate: StepGate,
    Planner: MapSwitchPlanner,
    isLeaseChecked: true,
    ...change,
  };
}
