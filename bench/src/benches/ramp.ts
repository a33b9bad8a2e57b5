import { SeededRandom, TargetId } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { AgentModel } from './fleet/AgentModel.js';
import { EntryModel } from './fleet/EntryModel.js';
import { EventLoop } from './fleet/EventLoop.js';
import type { Gate } from './fleet/Gate.js';
import { SimpleGate } from './fleet/SimpleGate.js';
import { TargetModel } from './fleet/TargetModel.js';
import type { TargetShape } from './fleet/TargetShape.js';
import { buildAdmission } from './fleet/buildAdmission.js';
import { buildDocument } from './fleet/buildDocument.js';

const SEED = 20_260_101;
const ENTRIES = 8;
const WARM_TARGETS = 11;
const MAX_IN_FLIGHT = 64;
const GROWTH = 1.5;
const INTERVAL_MS = 1000;
/** At full concurrency this takes half an interval. */
const MEAN_WORK_MS = 250;
const DEADLINE_MS = 5000;
/** Warm targets take twice the idle time at full concurrency. */
const CAPACITY_PER_MS = MAX_IN_FLIGHT / (2 * MEAN_WORK_MS);
const LOAD = 0.7;
/** By then the other targets have ramped. */
const COLD_MS = 30_000;
const WARM_UP_MS = 40_000;
const END_MS = 100_000;
/** The share of a target is compared with the mean of the others over this time. */
const SHARE_WINDOW_MS = 2000;
const FULL_SHARE = 0.9;

const warmShape: TargetShape = {
  kind: 'batch',
  knee: MAX_IN_FLIGHT,
  coldKnee: 2,
  coldSpeed: 0.3,
  warmUpMs: 0,
};

interface Figures {
  /** Most requests in flight above what the ramp allows at that time. */
  readonly aboveGrant: number;
  /** Most requests in flight over what the target could use at that time. */
  readonly overload: number;
  readonly failed: number;
  /** Seconds from warm to the full share; infinite when not reached. */
  readonly toFullSeconds: number;
}

function runFleet(warmUpMs: number, timeOnly: boolean): Figures {
  const loop = new EventLoop();
  const random = new SeededRandom(SEED);
  const document = buildDocument(1, ['a'], [], { maxInFlight: MAX_IN_FLIGHT });
  const entries: EntryModel[] = [];
  const warmAgents: AgentModel[] = [];
  while (entries.length < ENTRIES) entries.push(new EntryModel(loop, random));
  const addAgent = (agent: AgentModel): void => {
    for (const entry of entries) entry.addAgent(agent, 'a');
  };
  for (let index = 0; index < WARM_TARGETS; index += 1) {
    const gate: Gate = buildAdmission(loop, `canerota-${index}`, 'a', document);
    const agent = new AgentModel(loop, gate, new TargetModel(loop, warmShape, true));
    warmAgents.push(agent);
    addAgent(agent);
  }
  let requests = 0;
  const offer = (): void => {
    requests += 1;
    const entry = entries[Math.floor(random.next() * ENTRIES)] as EntryModel;
    entry.send({
      id: `r${requests}`,
      workMs: MEAN_WORK_MS * (0.5 + random.next()),
      deadlineMs: loop.getNow() + DEADLINE_MS,
      finish: () => undefined,
    });
    const perMs = LOAD * CAPACITY_PER_MS * (WARM_TARGETS + 1);
    loop.schedule(-Math.log(1 - random.next()) / perMs, offer);
  };
  offer();
  loop.run(COLD_MS);

  const computeAllowed = (): number => {
    const intervals = Math.floor((loop.getNow() - COLD_MS) / INTERVAL_MS);
    return Math.floor(Math.min(MAX_IN_FLIGHT, GROWTH ** intervals));
  };
  const gate: Gate = timeOnly
    ? new SimpleGate(TargetId.parse('canerota-cold'), computeAllowed)
    : buildAdmission(loop, 'canerota-cold', 'a', document);
  const target = new TargetModel(loop, { ...warmShape, warmUpMs }, false);
  const cold = new AgentModel(loop, gate, target);
  let aboveGrant = -Infinity;
  let overload = 0;
  cold.onStart = () => {
    aboveGrant = Math.max(aboveGrant, target.getInFlight() - computeAllowed());
    overload = Math.max(overload, target.getInFlight() / target.getKnee());
  };
  addAgent(cold);

  const warmMs = COLD_MS + warmUpMs;
  let toFullSeconds = Infinity;
  const observeShare = (): void => {
    const coldBefore = cold.finishedCount;
    const countWarm = (): number => {
      let sum = 0;
      for (const agent of warmAgents) sum += agent.finishedCount;
      return sum;
    };
    const warmBefore = countWarm();
    loop.schedule(SHARE_WINDOW_MS, () => {
      const mean = (countWarm() - warmBefore) / WARM_TARGETS;
      const share = (cold.finishedCount - coldBefore) / mean;
      if (share >= FULL_SHARE && loop.getNow() - SHARE_WINDOW_MS >= warmMs) {
        toFullSeconds = Math.min(toFullSeconds, (loop.getNow() - SHARE_WINDOW_MS - warmMs) / 1000);
      }
    });
  };
  loop.scheduleEvery(INTERVAL_MS / 2, observeShare);
  loop.run(END_MS);
  return { aboveGrant, overload, failed: cold.failedCount, toFullSeconds };
}

/** A cold target in a fleet: what it is given, and when it carries its full share. */
export const ramp: Bench = {
  name: 'ramp',
  deterministic: true,
  run(): Promise<BenchResult[]> {
    const warm = runFleet(0, false);
    const slow = runFleet(WARM_UP_MS, false);
    const timeOnly = runFleet(WARM_UP_MS, true);
    const aboveGrant = Math.max(warm.aboveGrant, slow.aboveGrant);
    return Promise.resolve([
      createResult('ramp.above_grant', SEED, aboveGrant, 'requests'),
      createResult('ramp.warm_to_full', SEED, warm.toFullSeconds, 's'),
      createResult('ramp.slow_warming_to_full', SEED, slow.toFullSeconds, 's'),
      createResult('ramp.overload', SEED, slow.overload, 'ratio', timeOnly.overload),
      createResult('ramp.failed', SEED, slow.failed, 'requests', timeOnly.failed),
    ]);
  },
};
