import type { Clock, RouteTarget } from '@limpetbay/core';
import { SeededRandom, TargetId, Zone } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import type { LockStepFleet } from './models/LockStepFleet.js';
import type { RoutingPolicy } from './models/RoutingPolicy.js';
import { createResult } from '../report/createResult.js';
import { AffinityPolicy } from './models/AffinityPolicy.js';
import { ExactLoadPolicy } from './models/ExactLoadPolicy.js';
import { LeastConnectionsPolicy } from './models/LeastConnectionsPolicy.js';
import { LeastReportPolicy } from './models/LeastReportPolicy.js';
import { RandomPolicy } from './models/RandomPolicy.js';
import { RoundRobinPolicy } from './models/RoundRobinPolicy.js';
import { RouterPolicy } from './models/RouterPolicy.js';
import { runRoutingModel } from './models/runRoutingModel.js';

type Outcome = ReturnType<typeof runRoutingModel>;

const SEED = 11;
const RUNS = 6;
const ENTRIES = 8;
const GROUPS = 2;
const RANKS = 32;

/** Requests per second at which exact knowledge of all loads meets the goals of the design. */
const RATE = 200;

function listTargets(): RouteTarget[] {
  const targets: RouteTarget[] = [];
  for (let index = 0; index < GROUPS * RANKS; index += 1) {
    targets.push({
      id: TargetId.parse(`t${index}`),
      zone: Zone.parse('abc'.charAt(index % 3)),
      group: `g${Math.floor(index / RANKS)}`,
      rank: index % RANKS,
      state: 'live',
    });
  }
  return targets;
}

/** Runs the model with several seeds and returns the mean of each figure. */
function measure(
  createPolicy: (entry: number, clock: Clock, fleet: LockStepFleet) => RoutingPolicy,
): Outcome {
  const sums: Record<string, number> = {};
  for (let seed = SEED; seed < SEED + RUNS; seed += 1) {
    const outcome = runRoutingModel({
      seed,
      entries: ENTRIES,
      groups: GROUPS,
      ranksPerGroup: RANKS,
      rate: RATE,
      createPolicy,
    });
    for (const [name, value] of Object.entries(outcome)) {
      sums[name] = (sums[name] ?? 0) + value / RUNS;
    }
  }
  return sums as unknown as Outcome;
}

async function run(): Promise<BenchResult[]> {
  const targets = listTargets();
  const router = measure(
    (entry, clock) =>
      new RouterPolicy(entry, ENTRIES, targets, clock, new SeededRandom(SEED + entry)),
  );
  const random = measure(
    (entry) => new RandomPolicy(targets.length, new SeededRandom(SEED + entry)),
  );
  const leastReport = measure(() => new LeastReportPolicy(targets.length));
  const exact = measure((_entry, _clock, fleet) => new ExactLoadPolicy(fleet));
  const baselines = {
    'round-robin': measure((entry) => new RoundRobinPolicy(entry, targets.length)),
    'least-connections': measure(
      (entry) => new LeastConnectionsPolicy(targets.length, new SeededRandom(SEED + entry)),
    ),
    affinity: measure(() => new AffinityPolicy(targets.length)),
  };

  const results: BenchResult[] = [];
  function add(name: string, figure: number, unit: string, baseline: number): void {
    results.push(createResult(`routing/${name}`, SEED, figure, unit, baseline));
  }
  add('step-time-p95', router.p95StepMs, 'ms', exact.p95StepMs);
  add('first-token-p95', router.p95FirstTokenMs, 'ms', exact.p95FirstTokenMs);
  for (const [name, outcome] of Object.entries(baselines)) {
    const step = router.meanStepMs / outcome.meanStepMs;
    const firstToken = router.p95FirstTokenMs / outcome.p95FirstTokenMs;
    const latency = router.meanLatencyMs / outcome.meanLatencyMs;
    add(`step-time-vs-${name}`, step, 'ratio of means', 1);
    add(`first-token-vs-${name}`, firstToken, 'ratio of p95', 1);
    add(`latency-vs-${name}`, latency, 'ratio of means', 1);
  }
  add('cached-share', router.cachedShare, 'share', baselines['round-robin'].cachedShare);
  add('window-peak', router.windowPeak, 'sends in 200 ms', exact.windowPeak);
  add('window-peak-vs-exact', router.windowPeak / exact.windowPeak, 'ratio', 1);
  add('window-peak-vs-report', router.windowPeak / leastReport.windowPeak, 'ratio', 1);
  add('window-peak-vs-random', router.windowPeak / random.windowPeak, 'ratio', 1);
  return results;
}

/**
 * Routing to lock-step groups by several entries with lagging reports, against the baselines. Plain
 * figures have exact knowledge of all loads as their baseline, the cached share has round robin.
 */
export const routing: Bench = { name: 'routing', deterministic: true, run };
