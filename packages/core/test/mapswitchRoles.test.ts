import { describe, expect, it } from 'vitest';
import { FakeGroup } from './fakes/FakeGroup.js';

const SKEWED_COUNTS = Array.from({ length: 16 }, (_, expert) => (expert === 0 ? 9000 : 1000));

/** Starts a group that runs with its initial map, and its planner. */
async function startGroup() {
  const group = new FakeGroup();
  const planner = group.createPlanner('p0');
  await group.runSteps(10, [planner]);
  expect(planner.isLeaseHolder()).toBe(true);
  group.stalledSteps = 0;
  return { group, planner };
}

describe('PlannerRole and RankRole', () => {
  // Guards against a switch that stalls the group, or whose decision does not reach a rank.
  it('switch all ranks to a new map without a stalled step', async () => {
    const { group, planner } = await startGroup();
    group.counts = SKEWED_COUNTS;
    await group.runSteps(100, [planner]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBeGreaterThan(1);
  });

  // Guards against planning of many layers that blocks the event loop.
  it('yield to other events between planning two layers', async () => {
    const group = new FakeGroup();
    const planner = group.createPlanner('p0', 3);
    await group.runSteps(10, [planner]);
    const before = group.yields;
    await group.runSteps(1, [planner]);
    expect(group.yields - before).toBe(2);
  });

  // Guards against treating an unanswered compare-and-swap as failed.
  it('resolve unanswered writes by reading the record back', async () => {
    const { group, planner } = await startGroup();
    group.counts = SKEWED_COUNTS;
    group.store.answersToDrop = 2;
    await group.runSteps(100, [planner]);
    expect(group.store.answersToDrop).toBe(0);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBe(2);
    expect(group.decisions).toEqual(['1 committed', '2 committed']);
  });

  // Guards against a group that waits for a planner that exited between the pending record and the
  // decision.
  it('abort a switch whose planner has exited', async () => {
    const { group, planner } = await startGroup();
    group.counts = SKEWED_COUNTS;
    group.dropsLastPromise = true;
    await group.runSteps(6, [planner]);
    expect(planner.getState().phase).toBe('promising');
    expect(group.ranks.map((role) => role.getState().record?.status)).toContain('pending');
    await group.runSteps(100);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.ranks.map((role) => role.getState().record?.status)).not.toContain('pending');
    expect(group.getVersion()).toBe(1);
  });

  // Guards against ranks that hang or assume a decision when the store becomes unavailable.
  it('run every step with one map during a store outage that begins at any step of a switch', async () => {
    for (let start = 0; start < 12; start += 1) {
      const { group, planner } = await startGroup();
      group.counts = SKEWED_COUNTS;
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

  // Guards against an agent that restarts in a store outage and stalls the group although all other
  // ranks know the map, and against one that continues without a reply of each of them.
  it('recover a restarted agent from the replies of all other ranks, but not from fewer', async () => {
    const { group, planner } = await startGroup();
    group.store.isDown = true;
    group.restartRank(1);
    await group.runSteps(50, [planner]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    group.restartRank(1);
    group.unreachable.add(2);
    await group.runSteps(50, [planner]);
    expect(group.stalledSteps).toBeGreaterThan(30);
    expect(group.ranks[1]?.getState().stalledSteps).toBeGreaterThan(30);
    group.store.isDown = false;
    const { step } = group;
    await group.runSteps(20, [planner]);
    expect(group.step).toBe(step + 20);
  });

  // Guards against an unresponsive store that delays grants or calls to peers.
  it('recover and grant steps while the store does not respond', async () => {
    const { group } = await startGroup();
    group.store.isUnresponsive = true;
    group.restartRank(1);
    await group.runSteps(50);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
  });

  // Guards against two active planners, and a paused one that acts after it resumes.
  it('transfer the lease and stop a planner whose process was paused', async () => {
    const { group, planner } = await startGroup();
    const successor = group.createPlanner('p1');
    await group.runSteps(20, [planner, successor]);
    expect([planner.isLeaseHolder(), successor.isLeaseHolder()]).toEqual([true, false]);
    await group.runSteps(120, [successor]);
    expect([planner.isLeaseHolder(), successor.isLeaseHolder()]).toEqual([false, true]);
    group.counts = SKEWED_COUNTS;
    await group.runSteps(100, [planner, successor]);
    expect([planner.isLeaseHolder(), successor.isLeaseHolder()]).toEqual([false, true]);
    expect(group).toMatchObject({ mixedSteps: 0, stalledSteps: 0 });
    expect(group.getVersion()).toBeGreaterThan(1);
  });

  // Guards against a restarted rank that takes its map from a store that has lost later ones.
  // Known red (KNOWN-RED.txt): this fails as long as the fault is there.
  it.fails('run every step with one map after the store was restored from a copy', async () => {
    const { group, planner } = await startGroup();
    const copy = group.store.takeCopy();
    group.counts = SKEWED_COUNTS;
    await group.runSteps(100, [planner]);
    expect(group.getVersion()).toBeGreaterThan(1);
    group.store.restore(copy);
    group.restartRank(1);
    // Its engine starts anew too.
    group.engines[1]?.maps.splice(0);
    await group.runSteps(100, [planner]);
    expect(group.mixedSteps).toBe(0);
  });

  // Guards against ranks that refuse every planner because the epochs of the store went back.
  // Known red (KNOWN-RED.txt): this fails as long as the fault is there.
  it.fails('switch maps again after the store was restored from a copy', async () => {
    const { group, planner } = await startGroup();
    const copy = group.store.takeCopy();
    group.counts = SKEWED_COUNTS;
    await group.runSteps(100, [planner]);
    const successor = group.createPlanner('p1');
    await group.runSteps(120, [successor]);
    expect(successor.isLeaseHolder()).toBe(true);
    const before = group.getVersion();
    group.store.restore(copy);
    group.counts = [...SKEWED_COUNTS].reverse();
    await group.runSteps(400, [planner, successor]);
    expect(group.mixedSteps).toBe(0);
    expect(group.getVersion()).toBeGreaterThan(before);
  });
});
