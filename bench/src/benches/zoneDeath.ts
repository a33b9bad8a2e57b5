import type { RouteTarget } from '@limpetbay/core';
import { InstanceId, Router, SeededRandom, ServiceName, TargetId, Zone } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { EventQueue } from './models/EventQueue.js';
import { ZoneEntry } from './models/ZoneEntry.js';
import { ZoneTarget } from './models/ZoneTarget.js';

const SEED = 23;
const ENTRIES = 8;
const TARGETS = 24;
const SLOTS = 32;
const MEAN_MS = 3000;
const DEADLINE_MS = 15_000;

/** 70% of what the two remaining zones can do; with 70% of all three they could not carry it. */
const RATE = (0.7 * ((TARGETS * 2) / 3) * SLOTS * 1000) / MEAN_MS;

const DEATH_MS = 30_000;
const RETURN_MS = 70_000;
const END_MS = 110_000;

/** Budget of each entry: 10% of its requests plus this many. */
const BURST = 10;

const service = ServiceName.parse('canerota');
const lostZone = Zone.parse('c');

interface Share {
  all: number;
  inTime: number;
}

async function run(): Promise<BenchResult[]> {
  const queue = new EventQueue();
  const { clock } = queue;
  const random = new SeededRandom(SEED);
  const targets = new Map<TargetId, ZoneTarget>();
  const listed: RouteTarget[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
    const id = TargetId.parse(`t${index}`);
    const zone = Zone.parse('abc'.charAt(index % 3));
    targets.set(id, new ZoneTarget(id, zone, queue, random, MEAN_MS));
    listed.push({ id, zone, group: null, rank: null, state: 'live' });
  }
  const ids = Array.from({ length: ENTRIES }, (_, index) => InstanceId.parse(`entry-${index}`));
  const entries: ZoneEntry[] = [];
  for (const entry of ids) {
    const router = new Router({ entry, zone: null, clock, random });
    router.setEntries(ids);
    router.updateTargets(service, listed);
    entries.push(new ZoneEntry(queue, router, random, targets));
  }
  const lost = [...targets.values()].filter((target) => target.zone === lostZone);

  const before: Share = { all: 0, inTime: 0 };
  const during: Share = { all: 0, inTime: 0 };
  const after: Share = { all: 0, inTime: 0 };
  const back: Share = { all: 0, inTime: 0 };
  function choosePeriod(nowMs: number): Share {
    if (nowMs < DEATH_MS - DEADLINE_MS) return before;
    if (nowMs < DEATH_MS + 3000) return during;
    return nowMs < RETURN_MS ? after : back;
  }
  function addArrivals(): void {
    const nowMs = clock.getNow();
    const period = choosePeriod(nowMs);
    if (nowMs < END_MS - DEADLINE_MS) {
      period.all += 1;
      entries[Math.floor(ENTRIES * random.next())]!.send(DEADLINE_MS, (failure) => {
        const isInTime = clock.getNow() <= nowMs + DEADLINE_MS;
        if (failure === null && isInTime) period.inTime += 1;
      });
    }
    queue.add((-1000 / RATE) * Math.log(1 - random.next()), addArrivals);
  }
  function countReceived(): number {
    let received = 0;
    for (const target of lost) received += target.received;
    return received;
  }
  addArrivals();
  queue.run(DEATH_MS);
  const usualPerSecond = countReceived() / (DEATH_MS / 1000);
  for (const target of lost) target.stop();
  queue.run(RETURN_MS);
  for (const target of lost) target.restart();
  let mostPerSecond = 0;
  for (let atMs = RETURN_MS; atMs < END_MS; atMs += 1000) {
    const received = countReceived();
    queue.run(atMs + 1000);
    mostPerSecond = Math.max(mostPerSecond, countReceived() - received);
  }

  let retries = 0;
  let requests = 0;
  let silent = 0;
  for (const entry of entries) {
    retries += entry.retries;
    requests += entry.requests;
    silent += entry.silent;
  }
  const budget = 0.1 * requests + BURST * ENTRIES;
  const results: BenchResult[] = [];
  function add(name: string, figure: number, unit: string, baseline: number | null = null): void {
    results.push(createResult(`zone-death/${name}`, SEED, figure, unit, baseline));
  }
  add('in-time-before', before.inTime / before.all, 'share');
  add('in-time-around-death', during.inTime / during.all, 'share');
  add('in-time-from-3s', after.inTime / after.all, 'share');
  add('in-time-after-return', back.inTime / back.all, 'share');
  add('retries-of-budget', retries / budget, 'share');
  add('silent-attempts', silent, 'attempts');
  add('most-received-after-return', mostPerSecond, 'attempts per second', usualPerSecond);
  return results;
}

/** A zone dies unannounced and later returns cold. */
export const zoneDeath: Bench = { name: 'zone-death', deterministic: true, run };
