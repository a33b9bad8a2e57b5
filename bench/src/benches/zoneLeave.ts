import { SeededRandom } from '@limpetbay/core';
import type { TargetAdmission } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { AgentModel } from './fleet/AgentModel.js';
import { EntryModel } from './fleet/EntryModel.js';
import { EventLoop } from './fleet/EventLoop.js';
import { TargetModel } from './fleet/TargetModel.js';
import type { TargetShape } from './fleet/TargetShape.js';
import { buildAdmission } from './fleet/buildAdmission.js';
import { buildDocument } from './fleet/buildDocument.js';

const SEED = 20_260_103;
const ENTRIES = 8;
const ZONES = ['a', 'b', 'c'];
const TARGETS_PER_ZONE = 5;
const MAX_IN_FLIGHT = 32;
const MEAN_WORK_MS = 200;
const DEADLINE_MS = 5000;
/** Share of what the zones that remain can do. */
const LOAD = 0.7;
const OUT = 'c';
const LEAVE_MS = 30_000;
const RETURN_MS = 60_000;
const END_MS = 100_000;
/** Requests from shortly before the change count. */
const COUNTED_MS = 25_000;
/** Every process learns of a change within this time (I9), each at its own moment. */
const SPREAD_MS = 3000;
const REPORT_MS = 500;
const GROWTH = 1.5;
const INTERVAL_MS = 1000;

/** While its zone is out a target loses its caches; it comes back stone cold. */
const shape: TargetShape = {
  kind: 'batch',
  knee: MAX_IN_FLIGHT,
  coldKnee: 2,
  coldSpeed: 0.3,
  warmUpMs: 10_000,
};

interface Figures {
  readonly inTime: number;
  /** Requests handed to a target of the zone later than 3 s after it was taken out. */
  readonly lateStarts: number;
  /** Requests handed to a target of the zone that did not run to their end. */
  readonly cut: number;
  /** Most requests in flight above the ramp after the return. */
  readonly aboveGrant: number;
}

/** @param rampStart first grant of a target; the full grant is a fleet without a ramp */
function runFleet(rampStart: number): Figures {
  const loop = new EventLoop();
  const random = new SeededRandom(SEED);
  const limits = { maxInFlight: MAX_IN_FLIGHT, rampStart };
  const before = buildDocument(1, ZONES, [], limits);
  const without = buildDocument(
    2,
    ZONES.filter((zone) => zone !== OUT),
    [OUT],
    limits,
  );
  const after = buildDocument(3, ZONES, [], limits);
  const entries: EntryModel[] = [];
  while (entries.length < ENTRIES) entries.push(new EntryModel(loop, random));
  const leaving: AgentModel<TargetAdmission>[] = [];
  const seen = { lateStarts: 0, aboveGrant: -Infinity };

  for (const zone of ZONES) {
    for (let index = 0; index < TARGETS_PER_ZONE; index += 1) {
      const gate = buildAdmission(loop, `canerota-${zone}${index}`, zone, before);
      const agent = new AgentModel(loop, gate, new TargetModel(loop, shape, true));
      for (const entry of entries) entry.addAgent(agent, zone);
      loop.schedule(LEAVE_MS + random.next() * SPREAD_MS, () => {
        agent.apply(gate.setDocument(without));
      });
      loop.schedule(RETURN_MS + random.next() * SPREAD_MS, () => {
        if (zone === OUT) agent.target.restart();
        const returnedMs = loop.getNow();
        agent.apply(gate.setDocument(after));
        if (zone !== OUT) return;
        agent.onStart = () => {
          const intervals = Math.floor((loop.getNow() - returnedMs) / INTERVAL_MS);
          const allowed = Math.min(MAX_IN_FLIGHT, Math.floor(GROWTH ** intervals));
          seen.aboveGrant = Math.max(seen.aboveGrant, agent.target.getInFlight() - allowed);
        };
      });
      if (zone !== OUT) continue;
      leaving.push(agent);
      agent.onStart = () => {
        if (loop.getNow() > LEAVE_MS + SPREAD_MS) seen.lateStarts += 1;
      };
    }
  }
  for (const entry of entries) {
    loop.scheduleEvery(REPORT_MS, () => entry.updateLoads());
    loop.schedule(LEAVE_MS + random.next() * SPREAD_MS, () => entry.setZoneOut(OUT, true));
    loop.schedule(RETURN_MS + random.next() * SPREAD_MS, () => entry.setZoneOut(OUT, false));
  }

  const remaining = (ZONES.length - 1) * TARGETS_PER_ZONE;
  const perMs = (LOAD * remaining * MAX_IN_FLIGHT) / (2 * MEAN_WORK_MS);
  let requests = 0;
  let counted = 0;
  let inTime = 0;
  const offer = (): void => {
    requests += 1;
    const nowMs = loop.getNow();
    const isCounted = nowMs >= COUNTED_MS && nowMs < END_MS - DEADLINE_MS;
    if (isCounted) counted += 1;
    (entries[Math.floor(random.next() * ENTRIES)] as EntryModel).send({
      id: `r${requests}`,
      workMs: MEAN_WORK_MS * (0.5 + random.next()),
      deadlineMs: nowMs + DEADLINE_MS,
      finish: (done) => {
        if (isCounted && done) inTime += 1;
      },
    });
    loop.schedule(-Math.log(1 - random.next()) / perMs, offer);
  };
  offer();
  let cut = 0;
  // All deadlines of the time before the change have passed by then.
  loop.schedule(RETURN_MS, () => {
    for (const agent of leaving) {
      cut += agent.startedCount - agent.finishedCount + agent.failedCount;
    }
  });
  loop.run(END_MS);
  return { inTime: inTime / counted, cut, ...seen };
}

/** A zone leaves and returns at 70% load of what remains. */
export const zoneLeave: Bench = {
  name: 'zone-leave',
  deterministic: true,
  run(): Promise<BenchResult[]> {
    const figures = runFleet(1);
    const unramped = runFleet(MAX_IN_FLIGHT);
    return Promise.resolve([
      createResult('zone-leave.in_time', SEED, figures.inTime, 'of requests', unramped.inTime),
      createResult('zone-leave.late_starts', SEED, figures.lateStarts, 'requests'),
      createResult('zone-leave.cut', SEED, figures.cut, 'requests'),
      createResult('zone-leave.above_grant', SEED, figures.aboveGrant, 'requests'),
    ]);
  },
};
