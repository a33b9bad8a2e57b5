import { SeededRandom } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { createSwitchConfig } from '../switchmodel/createSwitchConfig.js';
import { runLockStep } from '../switchmodel/runLockStep.js';
import { runSchedule } from '../switchmodel/runSchedule.js';

const FIRST_SEED = 1;
const SCHEDULES = 10_000;
const SIZES = [3, 5, 8];

/** Seeds FIRST_SEED to FIRST_SEED + SCHEDULES - 1, over groups of 3, 5 and 8 ranks in turn. */
function runSchedules(): BenchResult[] {
  let twoMaps = 0;
  let stuck = 0;
  let other = 0;
  let faults = 0;
  let committed = 0;
  let proposed = 0;
  for (let index = 0; index < SCHEDULES; index += 1) {
    const config = createSwitchConfig({
      ranks: SIZES[index % SIZES.length] ?? 3,
      planners: 2,
      window: 2,
      leadSteps: 2,
      lastStep: 12,
      faults: 6,
      outages: 2,
      ticks: 8,
      tickLength: 1,
      proposals: 3,
      isPrepareAtomic: false,
      isRecoveryAlwaysAllowed: true,
    });
    const result = runSchedule(config, new SeededRandom(FIRST_SEED + index), 400, 0.06);
    faults += result.faults;
    if (result.version > 1) proposed += 1;
    if (result.version > 1 && result.isCommitted) committed += 1;
    if (result.violation === '') continue;
    process.stderr.write(`map-switch seed ${FIRST_SEED + index}: ${result.violation}\n`);
    if (result.violation.includes('maps')) twoMaps += 1;
    else if (result.violation.startsWith('stuck')) stuck += 1;
    else other += 1;
  }
  return [
    createResult('map-switch.schedules', FIRST_SEED, SCHEDULES, 'schedules'),
    createResult('map-switch.two-maps', FIRST_SEED, twoMaps, 'schedules'),
    createResult('map-switch.stuck', FIRST_SEED, stuck, 'schedules'),
    createResult('map-switch.fencing', FIRST_SEED, other, 'schedules'),
    createResult('map-switch.faults', FIRST_SEED, faults, 'faults'),
    createResult('map-switch.proposed', FIRST_SEED, proposed, 'schedules'),
    createResult('map-switch.committed', FIRST_SEED, committed, 'schedules'),
  ];
}

/** Steps for which a group of 32 ranks waits; a message takes the time of one step. */
function countStalls(): BenchResult[] {
  const config = createSwitchConfig({
    ranks: 32,
    window: 8,
    leadSteps: 16,
    lastStep: 200,
    faults: 1,
    outages: 1,
  });
  const calm = {
    isPlannerLost: false,
    restartAt: -1,
    outageFrom: -1,
    outageUntil: -1,
    usesRecoveryReplies: true,
    maxUndecidedRounds: 20,
  };
  const outage = { ...calm, restartAt: 60, outageFrom: 50, outageUntil: 110 };
  const cases = {
    'no-failure': calm,
    'planner-lost': { ...calm, isPlannerLost: true },
    'planner-lost-in-outage': { ...calm, isPlannerLost: true, outageFrom: 10, outageUntil: 70 },
    'agent-restart': { ...calm, restartAt: 60 },
    'agent-restart-in-outage': outage,
    'agent-restart-in-outage-no-evidence': { ...outage, usesRecoveryReplies: false },
  };
  return Object.entries(cases).map(([name, incident]) => {
    const { stalledSteps, violation, isCommitted } = runLockStep(config, incident);
    if (violation !== '') process.stderr.write(`map-switch ${name}: ${violation}\n`);
    if (name === 'no-failure' && !isCommitted) process.stderr.write('map-switch: not committed\n');
    const figure = violation === '' && (name !== 'no-failure' || isCommitted) ? stalledSteps : NaN;
    return createResult(`map-switch.stalled.${name}`, FIRST_SEED, figure, 'steps');
  });
}

/** Random fault schedules over the map switch, and what a switch costs in steps. */
export const mapSwitchBench: Bench = {
  name: 'map-switch',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    return [...runSchedules(), ...countStalls()];
  },
};
