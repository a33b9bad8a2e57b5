import { setTimeout as sleep } from 'node:timers/promises';
import type { ServiceDocument } from '@limpetbay/core';
import { DevFleet, defaultFleetOptions } from '@limpetbay/dev';
import { FleetCaller } from '../fleet/FleetCaller.js';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';

const CALLERS = 16;
const SEED = 0;
/** Time until new work has stopped, and until an unannounced loss is no longer felt. */
const SETTLE_MS = 3000;
const OBSERVE_MS = 4000;

interface Counts {
  readonly completed: number;
  readonly failed: number;
}

function startCallers(fleet: DevFleet): FleetCaller[] {
  const seedUrl = [...fleet.entries.values()][0]!.url;
  return Array.from({ length: CALLERS }, (_, index) => {
    const kind = index % 4 === 0 ? 'booking' : 'chat';
    return new FleetCaller({ seedUrl, name: `caller-${index}`, kind, maxTokens: 20 });
  });
}

function countEnds(callers: readonly FleetCaller[]): Counts {
  let completed = 0;
  let failed = 0;
  for (const caller of callers) {
    completed += caller.completed;
    for (const count of caller.failures.values()) failed += count;
  }
  return { completed, failed };
}

/** Engine requests begun in zone b, which has the ranks with odd numbers. */
function countStarted(fleet: DevFleet): number {
  let started = 0;
  for (const [rank, engine] of fleet.engines.ranks.entries()) {
    if (rank % 2 === 1) started += engine.startedRequests;
  }
  return started;
}

async function setZones(fleet: DevFleet, zonesIn: string[], zonesOut: string[]): Promise<void> {
  for (const document of fleet.documents.values()) {
    const zones = { in: zonesIn, out: zonesOut } as ServiceDocument['zones'];
    await fleet.accept({ ...document, zones });
  }
}

/** Ends every process of zone b at once. */
function killZone(fleet: DevFleet): void {
  for (const [target, agent] of fleet.agents) {
    if (Number(target.split('-')[1]) % 2 === 1) agent.kill();
  }
  for (const [rank, engine] of fleet.engines.ranks.entries()) if (rank % 2 === 1) engine.kill();
  for (const [id, entry] of fleet.entries) if (id.startsWith('entry-b')) entry.kill();
}

async function measureLeave(fleet: DevFleet, callers: FleetCaller[]): Promise<BenchResult[]> {
  const before = countEnds(callers);
  await setZones(fleet, ['a'], ['b']);
  await sleep(SETTLE_MS);
  const started = countStarted(fleet);
  await sleep(OBSERVE_MS);
  const late = countStarted(fleet) - started;
  await setZones(fleet, ['a', 'b'], []);
  await sleep(OBSERVE_MS);
  const returned = countStarted(fleet) - started - late;
  const after = countEnds(callers);
  const failed = after.failed - before.failed;
  const total = after.completed - before.completed + failed;
  return [
    createResult('zones-live.leave.completed_share', SEED, 1 - failed / total, 'of requests'),
    createResult('zones-live.leave.late_starts', SEED, late, 'requests'),
    createResult('zones-live.return.starts', SEED, returned, 'requests'),
  ];
}

async function measureLoss(fleet: DevFleet, callers: FleetCaller[]): Promise<BenchResult[]> {
  killZone(fleet);
  await sleep(SETTLE_MS);
  const before = countEnds(callers);
  await sleep(OBSERVE_MS);
  const after = countEnds(callers);
  const failed = after.failed - before.failed;
  const total = after.completed - before.completed + failed;
  return [
    createResult('zones-live.loss.completed_share', SEED, 1 - failed / total, 'of requests'),
    createResult('zones-live.loss.completed', SEED, total - failed, 'requests'),
  ];
}

/** A zone is taken out, taken in again and then lost unannounced, with real daemons under load. */
export const zonesLive: Bench = {
  name: 'zones-live',
  deterministic: false,
  run: async () => {
    const fleet = new DevFleet({
      ...defaultFleetOptions,
      // A lost rank ends a real lock-step group; the ranks of this one go on without it.
      experts: 0,
      logLevel: 'silent',
      stepMs: 10,
      addressTtlMs: 1000,
    });
    await fleet.start();
    const callers = startCallers(fleet);
    const runs = callers.map((caller) => caller.run());
    await sleep(SETTLE_MS);
    const results = await measureLeave(fleet, callers);
    results.push(...(await measureLoss(fleet, callers)));
    for (const caller of callers) caller.stop();
    await Promise.all(runs);
    await fleet.stop();
    for (const caller of callers) {
      for (const [reason, count] of caller.failures) {
        process.stderr.write(`zones-live: ${count} x ${reason}\n`);
      }
    }
    const doubled = [...fleet.runsByBooking.values()].filter((count) => count > 1).length;
    results.push(createResult('zones-live.doubled', SEED, doubled, 'bookings'));
    return results;
  },
};
