import { describe, expect, it } from 'vitest';
import { FakeGroup } from './fakes/FakeGroup.js';

const HOT = Array.from({ length: 16 }, (_, expert) => (expert === 0 ? 9000 : 1000));

/** A group that runs with its first map, and its planner. */
async function startGroup() {
  const group = new FakeGroup();
  const planner = group.createPlanner('p0');
  await group.runSteps(10, [planner]);
  expect(planner.isHolder()).toBe(true);
  group.stalledSteps = 0;
  return { group, planner };
}

describe('PlannerRole and RankRole', () => {
  // Guards against a switch that stalls the group, or of which a rank is not told.
  it('bring a new map into force on all ranks without a stalled step', async () => {
    const { group, planner } = await startGroup();
    group.counts = HOT;
    await group.runSteps(100, [planner]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBeGreaterThan(1);
  });

  // Guards against a plan of many layers that holds up all other events of the process.
  it('give way between the plans of two layers', async () => {
    const group = new FakeGroup();
    const planner = group.createPlanner('p0', 3);
    await group.runSteps(10, [planner]);
    const before = group.pauses;
    await group.runSteps(1, [planner]);
    expect(group.pauses - before).toBe(2);
  });

  // Guards against taking a CAS whose answer was lost for one that failed.
  it('settle lost answers of every write by reading back', async () => {
    const { group, planner } = await startGroup();
    group.counts = HOT;
    group.store.lostAnswers = 2;
    await group.runSteps(100, [planner]);
    expect(group.store.lostAnswers).toBe(0);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBe(2);
    expect(group.decisions).toEqual(['1 committed', '2 committed']);
  });

  // Guards against a group that waits for a planner that died between intent and decision.
  it('abandon a switch whose planner is gone', async () => {
    const { group, planner } = await startGroup();
    group.counts = HOT;
    group.isPromiseLost = true;
    await group.runSteps(6, [planner]);
    expect(planner.getState().phase).toBe('promising');
    expect(group.ranks.map((role) => role.getState().record?.status)).toContain('pending');
    await group.runSteps(100);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.ranks.map((role) => role.getState().record?.status)).not.toContain('pending');
    expect(group.getVersion()).toBe(1);
  });

  // Guards against ranks that hang, or guess, when the store goes away during a switch.
  it('keep one map through an outage that begins at any step of a switch', async () => {
    for (let start = 0; start < 12; start += 1) {
      const { group, planner } = await startGroup();
      group.counts = HOT;
      await group.runSteps(start, [planner]);
      group.store.isDown = true;
      await group.runSteps(60, [planner]);
      group.store.isDown = false;
      const { step } = group;
      await group.runSteps(150, [planner]);
      expect(group.mixedSteps).toBe(0);
      expect(group.step).toBeGreaterThan(step + 100);
    }
  });

  // Guards against an agent that restarts in an outage and holds the group although all others
  // know the map, and against one that goes on without knowing it.
  it('resume a restarted agent on the evidence of all others, and only of all', async () => {
    const { group, planner } = await startGroup();
    group.store.isDown = true;
    group.restartRank(1);
    await group.runSteps(50, [planner]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    group.restartRank(1);
    group.lost.add(2);
    await group.runSteps(50, [planner]);
    expect(group.stalledSteps).toBeGreaterThan(30);
    expect(group.ranks[1]?.getState().stalledSteps).toBeGreaterThan(30);
    group.store.isDown = false;
    const { step } = group;
    await group.runSteps(20, [planner]);
    expect(group.step).toBe(step + 20);
  });

  // Guards against a store that never answers and thereby holds up the grants, or the peers.
  it('resume and grant while the store is silent', async () => {
    const { group } = await startGroup();
    group.store.isSilent = true;
    group.restartRank(1);
    await group.runSteps(50);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
  });

  // Guards against two planners at once, and a paused one that acts when it wakes.
  it('hand the lease over and stop a planner that was paused', async () => {
    const { group, planner } = await startGroup();
    const next = group.createPlanner('p1');
    await group.runSteps(20, [planner, next]);
    expect([planner.isHolder(), next.isHolder()]).toEqual([true, false]);
    await group.runSteps(120, [next]);
    expect([planner.isHolder(), next.isHolder()]).toEqual([false, true]);
    group.counts = HOT;
    await group.runSteps(100, [planner, next]);
    expect([planner.isHolder(), next.isHolder()]).toEqual([false, true]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBeGreaterThan(1);
  });
});
