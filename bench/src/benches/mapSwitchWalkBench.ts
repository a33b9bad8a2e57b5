import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { createSwitchConfig } from '../switchmodel/createSwitchConfig.js';
import { checkReachableStates } from '../switchmodel/checkReachableStates.js';

const MAX_STATES = 1_000_000;

/** The walks take no random choice; the result line still names a seed. */
const SEED = 0;

/** One state of so many is run on without further faults, and must finish. */
const RECOVER_EVERY = 500;

const WALKS = {
  'two-planners': { planners: 2, ticks: 1 },
  'three-ranks': { ranks: 3 },
  // A restart in an outage is the one case in which a rank resumes on the evidence of the others.
  'restart-in-outage': { faults: 1, outages: 1, faultKinds: ['restart'] as const },
};

function runWalk(name: string, bounds: Parameters<typeof createSwitchConfig>[0]): BenchResult[] {
  const result = checkReachableStates(createSwitchConfig(bounds), MAX_STATES, RECOVER_EVERY);
  const prefix = `map-switch-walk.${name}`;
  if (result.violation !== '') {
    process.stderr.write(`${prefix}: ${result.violation}: ${result.trace.join(', ')}\n`);
  }
  const failures = result.violation === '' && result.isComplete ? 0 : 1;
  return [
    createResult(`${prefix}.failures`, SEED, failures, 'walks'),
    createResult(`${prefix}.states`, SEED, result.states, 'states'),
  ];
}

/** Every order of events in small groups, beyond the walks that the tests make. */
export const mapSwitchWalkBench: Bench = {
  name: 'map-switch-walk',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    return Object.entries(WALKS).flatMap(([name, bounds]) => runWalk(name, bounds));
  },
};
