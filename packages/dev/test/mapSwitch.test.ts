import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { waitUntil } from '@limpetbay/runtime';
import { streamChat } from './support/callers.js';

const EXPERTS = 128;
const RANKS = 4;

let fleet: DevFleet;

/** Builds token counts of one layer with Zipf popularity; `first` is the most popular expert. */
const buildCounts = (first: number): number[][] => [
  Array.from({ length: EXPERTS }, (_, expert) => {
    const popularityRank = (expert - first + EXPERTS) % EXPERTS;
    return Math.round(100_000 / (popularityRank + 1));
  }),
];

beforeAll(async () => {
  fleet = new DevFleet({
    ...defaultFleetOptions,
    ranks: RANKS,
    plainTargets: 1,
    stepMs: 10,
    leaveMs: 200,
    logLevel: 'silent',
  });
  fleet.engines.expertTokenCounts = buildCounts(0);
  await fleet.start();
}, 30_000);

afterAll(() => fleet.stop());

// Guards against a step in which two ranks use different maps, and against a switch that makes the
// group wait although nothing fails.
it('switches all ranks at one step when the counts are skewed', async () => {
  expect(await waitUntil(() => fleet.engines.mapVersion > 0, 15_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 20_000);

// Guards against ranks with different maps, and against a group that stops, after the agent of the
// planner or of a rank dies in the middle of a switch.
it('keeps the same map on all ranks while agents are killed and restarted', async () => {
  for (let rank = 0; rank < RANKS; rank += 1) {
    const target = `canerota-${rank}`;
    fleet.engines.expertTokenCounts = buildCounts((rank + 1) * 29);
    await sleep(400 + 150 * rank);
    fleet.agents.get(target)!.kill();
    await sleep(300);
    await fleet.startAgent(target, 'canerota', fleet.engines.ranks[rank]!.origin);
    await sleep(500);
  }
  const step = fleet.engines.getStep();
  expect(await waitUntil(() => fleet.engines.getStep() > step + 50, 10_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 30_000);

// Guards against a group that stops because the store is unavailable, and against a map switch that
// is not recorded in the store.
it('keeps running with its current map during a store outage', async () => {
  fleet.store.setOutage(true);
  fleet.engines.expertTokenCounts = buildCounts(64);
  const step = fleet.engines.getStep();
  const version = fleet.engines.mapVersion;
  await sleep(3000);
  const answer = await streamChat([...fleet.entries.values()][0]!.url, 'in an outage', 10);
  fleet.store.setOutage(false);
  expect(answer.isComplete).toBe(true);
  expect(fleet.engines.getStep()).toBeGreaterThan(step + 100);
  expect(fleet.engines.mapVersion).toBe(version);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 20_000);

// Guards against a restarted engine that runs with the initial map instead of the active one.
it('gives a restarted engine the active map before it runs a step', async () => {
  fleet.engines.ranks[1]!.kill();
  await sleep(200);
  await fleet.engines.ranks[1]!.start();
  const step = fleet.engines.getStep();
  expect(await waitUntil(() => fleet.engines.getStep() > step + 50, 10_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 20_000);
