import { setTimeout as sleep } from 'node:timers/promises';
import { afterAll, beforeAll, expect, it } from 'vitest';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { waitUntil } from '@limpetbay/runtime';
import { streamChat } from './support/callers.js';

const EXPERTS = 128;
const RANKS = 4;

let fleet: DevFleet;

/** Expert counts with a Zipf popularity whose most popular expert is `first`. */
const buildCounts = (first: number): number[][] => [
  Array.from({ length: EXPERTS }, (_, expert) => {
    const place = (expert - first + EXPERTS) % EXPERTS;
    return Math.round(100_000 / (place + 1));
  }),
];

beforeAll(async () => {
  fleet = new DevFleet({
    ...defaultFleetOptions,
    ranks: RANKS,
    services: 1,
    stepMs: 10,
    leaveMs: 200,
    logLevel: 'silent',
  });
  fleet.engines.expertTokenCounts = buildCounts(0);
  await fleet.start();
}, 30_000);

afterAll(() => fleet.stop());

// Guards against a step in which two ranks use different maps, and against a switch that makes
// the group wait although nothing fails.
it('switches all ranks at one step when the counts are skewed', async () => {
  expect(await waitUntil(() => fleet.engines.mapVersion > 0, 15_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 20_000);

// Guards against a map that differs between ranks after the planner or a rank's agent died in the
// middle of a switch, and against a group that stands still afterwards.
it('keeps one map while agents die and return', async () => {
  for (let round = 0; round < RANKS; round += 1) {
    const target = `canerota-${round}`;
    fleet.engines.expertTokenCounts = buildCounts((round + 1) * 29);
    await sleep(400 + 150 * round);
    fleet.agents.get(target)!.kill();
    await sleep(300);
    await fleet.startAgent(target, 'canerota', fleet.engines.ranks[round]!.origin);
    await sleep(500);
  }
  const step = fleet.engines.getStep();
  expect(await waitUntil(() => fleet.engines.getStep() > step + 50, 10_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 30_000);

// Guards against a group that stops because the store is away, and against a switch without it.
it('goes on with its map in a store outage', async () => {
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

// Guards against an engine restart that brings the rank back with its first map.
it('gives a restarted engine the map in force before it runs a step', async () => {
  fleet.engines.ranks[1]!.kill();
  await sleep(200);
  await fleet.engines.ranks[1]!.start();
  const step = fleet.engines.getStep();
  expect(await waitUntil(() => fleet.engines.getStep() > step + 50, 10_000)).toBe(true);
  expect(fleet.engines.mixedSteps).toEqual([]);
}, 20_000);
