import { performance } from 'node:perf_hooks';
import type { LoadReport, RandomSource, RouteRequest, RouteTarget } from '@limpetbay/core';
import {
  GroupLoad,
  Incarnation,
  InstanceId,
  ManualClock,
  Router,
  RouterSettings,
  SeededRandom,
  ServiceName,
  TargetId,
  TargetView,
  Workspace,
  Zone,
  scoreTarget,
} from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';

const SEED = 31;
const TARGETS = 2300;
const ZONES = 8;
const RANKS = 256;
const ENTRIES = 8;
const WARM_UP = 20_000;
const PICKS = 100_000;
const SCANS = 2_000;

const service = ServiceName.parse('canerota');

function createRouter(clock: ManualClock): { router: Router; targets: RouteTarget[] } {
  const ids: InstanceId[] = [];
  for (let entry = 0; entry < ENTRIES; entry += 1) ids.push(InstanceId.parse(`entry-${entry}`));
  const targets: RouteTarget[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
    targets.push({
      id: TargetId.parse(`t${index}`),
      zone: Zone.parse(`z${index % ZONES}`),
      group: `g${Math.floor(index / RANKS)}`,
      rank: index % RANKS,
      state: 'live',
    });
  }
  const router = new Router({ entry: ids[0]!, zone: null, clock, random: new SeededRandom(SEED) });
  router.setEntries(ids);
  router.updateTargets(service, targets);
  return { router, targets };
}

function createReport(target: TargetId, random: RandomSource): LoadReport {
  return {
    target,
    incarnation: Incarnation.parse(1),
    state: 'serving',
    inFlight: Math.floor(30 * random.next()),
    limit: 64,
    queued: 0,
    queueDelayMs: 0,
    stepTimeMs: 45,
    tokensInFlight: Math.floor(40_000 * random.next()),
    queuedPromptTokens: 0,
    kvFree: 0.5,
    configRevision: 1,
  };
}

/** Runs a function many times. @returns microseconds and bytes allocated for one run */
function measure(times: number, call: (index: number) => void): { us: number; bytes: number } {
  const heapBefore = process.memoryUsage().heapUsed;
  const start = performance.now();
  for (let index = 0; index < times; index += 1) call(index);
  const us = ((performance.now() - start) * 1000) / times;
  return { us, bytes: (process.memoryUsage().heapUsed - heapBefore) / times };
}

/** The median of many short runs, because a collection within a run hides allocations. */
function measureBytes(call: (index: number) => void): number {
  const samples: number[] = [];
  for (let sample = 0; sample < 50; sample += 1) samples.push(measure(200, call).bytes);
  samples.sort((a, b) => a - b);
  return samples[samples.length >> 1] ?? NaN;
}

async function run(): Promise<BenchResult[]> {
  const clock = new ManualClock();
  const { router, targets } = createRouter(clock);
  const random = new SeededRandom(SEED);
  for (const { id } of targets) router.handleLoad(createReport(id, random));
  const requests: RouteRequest[] = [];
  for (let index = 0; index < 64; index += 1) {
    requests.push({
      service,
      workspace: Workspace.parse(`estate-${index}`),
      priority: 'normal',
      promptTokens: 1000,
      maxTokens: 300,
      deadlineMs: 30_000,
      repeatable: true,
      tried: new Set(),
      prefixHashes: [`p${index}/1`, `p${index}/2`, `p${index}/3`, `p${index}/4`],
    });
  }
  function pickAndSend(index: number): void {
    const request = requests[index % requests.length]!;
    // About 500 requests per second at this entry.
    clock.advance(2);
    const decision = router.pick(request).unwrap();
    router.recordSend(decision, request);
    router.recordFinish(decision, 'complete');
  }

  // The baseline gives every target the router's score and takes the lowest.
  const settings = RouterSettings.parse({});
  const load = new GroupLoad(true);
  const views = targets.map(({ id, zone }) => new TargetView(id, zone, settings, random));
  for (const view of views) view.handleReport(createReport(view.id, random), clock.getNow());
  load.update(views, clock.getNow());
  function pickByScan(index: number): void {
    const request = requests[index % requests.length]!;
    const nowMs = clock.getNow();
    let best: TargetView | null = null;
    let bestMs = Infinity;
    for (const view of views) {
      const scoreMs = scoreTarget(view, load, request, 0, settings, nowMs);
      if (scoreMs >= bestMs) continue;
      best = view;
      bestMs = scoreMs;
    }
    if (best === null) throw new Error('no target has a score');
  }

  measure(WARM_UP, pickAndSend);
  measure(SCANS, pickByScan);
  const picks = measure(PICKS, pickAndSend);
  const scans = measure(SCANS, pickByScan);
  const bytes = measureBytes(pickAndSend);
  const update = measure(20, () => router.updateTargets(service, targets));
  return [
    createResult('decision-cost/pick', SEED, picks.us, 'us', scans.us),
    createResult('decision-cost/pick-bytes', SEED, bytes, 'bytes'),
    createResult('decision-cost/update-targets', SEED, update.us / 1000, 'ms'),
  ];
}

/** Time and allocations of a pick with its bookkeeping, against a scan of all targets. */
export const decisionCost: Bench = { name: 'decision-cost', deterministic: false, run };
