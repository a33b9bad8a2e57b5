import { describe, expect, it } from 'vitest';
import { SeededRandom } from '@limpetbay/core';
import { createSwitchConfig } from '../src/switchmodel/createSwitchConfig.js';
import { runLockStep } from '../src/switchmodel/runLockStep.js';
import { runSchedule } from '../src/switchmodel/runSchedule.js';
import { checkReachableStates } from '../src/switchmodel/checkReachableStates.js';
import { AcceptsOldIncarnations } from './broken/AcceptsOldIncarnations.js';
import { ActsAfterLease } from './broken/ActsAfterLease.js';
import { CountsOldPromises } from './broken/CountsOldPromises.js';
import { CommitsEarly } from './broken/CommitsEarly.js';
import { IgnoresStoredMinEpoch } from './broken/IgnoresStoredMinEpoch.js';
import { GrantsPastPromise } from './broken/GrantsPastPromise.js';
import { AssumesCommitAtBoundary } from './broken/AssumesCommitAtBoundary.js';
import { IgnoresPromiseInReplies } from './broken/IgnoresPromiseInReplies.js';

const RANDOM_BOUNDS = {
  ranks: 3,
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
};

function findViolation(change: Parameters<typeof createSwitchConfig>[0], seeds = 20_000): string {
  const config = createSwitchConfig({ ...RANDOM_BOUNDS, ...change });
  for (let seed = 1; seed <= seeds; seed += 1) {
    const { violation } = runSchedule(config, new SeededRandom(seed), 400, 0.1);
    if (violation !== '') return violation;
  }
  return '';
}

describe('every interleaving of a small group', () => {
  // Guards against a step that runs with two maps, and a group that never runs again, after one
  // lost or repeated message, lost answer or restart.
  it('runs each step with one map and finishes after any single fault', () => {
    const result = checkReachableStates(createSwitchConfig({ faults: 1 }), 200_000, 200);
    expect(result).toMatchObject({ violation: '', trace: [], isComplete: true });
    expect(result.committed).toBeGreaterThan(1000);
  }, 60_000);

  // Guards against a planner that takes a CAS for failed because its answer was lost, while the
  // store is unavailable and can't be read.
  it('determines the result of a CAS whose answer was lost around an outage', () => {
    const bounds = { faults: 1, outages: 1, faultKinds: ['lose answer'] as const };
    const result = checkReachableStates(createSwitchConfig(bounds), 200_000, 200);
    expect(result).toMatchObject({ violation: '', trace: [], isComplete: true });
  }, 60_000);
});

describe('violations found with a broken rule', () => {
  it('a rank grants steps past the boundary that it promised', () => {
    expect(findViolation({ Gate: GrantsPastPromise })).toContain('maps');
  });

  it('a planner commits before all ranks have promised', () => {
    expect(findViolation({ Planner: CommitsEarly })).toContain('maps');
  });

  it('a rank uses the new map at the boundary without a decision', () => {
    expect(findViolation({ Gate: AssumesCommitAtBoundary })).toContain('maps');
  });

  it('a planner counts a promise of an old incarnation', () => {
    const broken = { Gate: AcceptsOldIncarnations, Planner: CountsOldPromises };
    expect(findViolation({ ...broken, ranks: 2 })).toContain('maps');
  }, 60_000);

  it('a restarted rank ignores a promise in the recovery replies of its peers', () => {
    expect(findViolation({ Gate: IgnoresPromiseInReplies, ranks: 2 })).toContain('maps');
  }, 60_000);

  it('a restarted rank does not keep its minimum epoch', () => {
    // The rank restarts after a request of a newer planner; then a late request to prepare of the
    // older planner reaches it.
    const bounds = {
      ranks: 2,
      lastStep: 60,
      faults: 2,
      faultKinds: ['restart'] as const,
      ticks: 2,
      tickLength: 4,
    };
    expect(findViolation({ ...bounds, Gate: IgnoresStoredMinEpoch })).toContain(
      'ran an order of epoch',
    );
    expect(findViolation({ ...bounds }, 2000)).toBe('');
  }, 60_000);

  it('a planner acts after its lease', () => {
    const broken = { Planner: ActsAfterLease, isLeaseChecked: false };
    expect(findViolation(broken)).toContain('acted after its lease');
  });
});

// Guards against a switch that stalls the group although nothing failed.
it('commits without a stalled step when nothing fails', () => {
  const config = createSwitchConfig({ ranks: 16, window: 8, leadSteps: 16, lastStep: 100 });
  const noFaults = {
    isPlannerLost: false,
    restartAt: -1,
    outageFrom: -1,
    outageUntil: -1,
    usesRecoveryReplies: true,
    maxUndecidedRounds: 20,
  };
  expect(runLockStep(config, noFaults)).toEqual({
    stalledSteps: 0,
    isCommitted: true,
    violation: '',
  });
});
