import type { Clock, LoadReport, RandomSource } from '@limpetbay/core';
import { SeededRandom } from '@limpetbay/core';
import type { ModelRequest } from './ModelRequest.js';
import type { RoutingPolicy } from './RoutingPolicy.js';
import { computeQuantile } from './computeQuantile.js';
import { EventQueue } from './EventQueue.js';
import { LockStepFleet } from './LockStepFleet.js';

const LINK_MS = 1;
const WARM_UP_MS = 15_000;
const RUN_MS = 60_000;
const SNAPSHOT_MS = 200;
const PREFIXES = 60;
const WINDOW_MS = 200;

interface Outcome {
  /** Time of a step, as the running requests see it. */
  readonly meanStepMs: number;
  readonly p95StepMs: number;
  /** Mean over the steps of the slowest rank's time relative to the mean rank's. */
  readonly skew: number;
  readonly p95FirstTokenMs: number;
  readonly meanLatencyMs: number;
  /** Prompt tokens found in caches, as a share of all. */
  readonly cachedShare: number;
  /** Mean over windows of 200 ms of the most sends to one target. */
  readonly windowPeak: number;
  readonly finished: number;
}

interface ModelOptions {
  readonly seed: number;
  readonly entries: number;
  readonly groups: number;
  readonly ranksPerGroup: number;
  /** Requests per second over all entries. */
  readonly rate: number;
  readonly createPolicy: (entry: number, clock: Clock, fleet: LockStepFleet) => RoutingPolicy;
}

function drawRequest(random: RandomSource, id: number, entries: number): ModelRequest {
  // Popularity of the prefixes falls as 1 / rank; a few workspaces are large.
  const prefix = Math.floor(PREFIXES ** random.next());
  const prefixTokens = 600 + 40 * (prefix % 30);
  // One request in eight brings a long text, as a log summary does.
  const ownTokens = random.next() < 1 / 8 ? 2000 + 4000 * random.next() : 50 + 350 * random.next();
  const promptTokens = prefixTokens + Math.floor(ownTokens);
  // Most answers are short; a few are long.
  const answerTokens = 20 + Math.floor(Math.min(900, -120 * Math.log(1 - random.next())));
  return {
    id,
    entry: Math.floor(entries * random.next()),
    prefix: `p${prefix}`,
    prefixTokens,
    promptTokens,
    answerTokens,
    maxTokens: Math.min(1000, Math.ceil(answerTokens / 200) * 200),
  };
}

/** Runs the same requests through a policy per entry and measures the group steps and latencies. */
export function runRoutingModel(options: ModelOptions): Outcome {
  const random = new SeededRandom(options.seed);
  const queue = new EventQueue();
  const { clock } = queue;
  const stepMs: number[] = [];
  const firstTokenMs: number[] = [];
  const peaks: number[] = [];
  let skewSum = 0;
  let steps = 0;
  let latencySum = 0;
  let finished = 0;
  let promptTokens = 0;
  const fleet = new LockStepFleet(queue, {
    groups: options.groups,
    ranksPerGroup: options.ranksPerGroup,
    snapshotMs: SNAPSHOT_MS,
    onStep(time, meanRankMs, running) {
      if (clock.getNow() < WARM_UP_MS) return;
      // Each running request sees the step once.
      for (let index = 0; index < running; index += 16) stepMs.push(time);
      skewSum += time / meanRankMs;
      steps += 1;
    },
  });
  const policies: RoutingPolicy[] = [];
  for (let entry = 0; entry < options.entries; entry += 1) {
    policies.push(options.createPolicy(entry, clock, fleet));
  }
  let window = new Map<number, number>();

  function reportLoad(policy: RoutingPolicy, report: LoadReport): void {
    queue.add(LINK_MS, () => policy.acceptLoad(report));
  }

  function sendRequest(request: ModelRequest): void {
    const policy = policies[request.entry]!;
    const startMs = clock.getNow();
    const target = policy.pick(request);
    window.set(target, (window.get(target) ?? 0) + 1);
    promptTokens += request.promptTokens;
    const isMeasured = startMs >= WARM_UP_MS;
    queue.add(LINK_MS, () => {
      fleet.ranks[target]!.start(
        request,
        () => {
          if (isMeasured) firstTokenMs.push(clock.getNow() + LINK_MS - startMs);
        },
        () => {
          reportLoad(policy, fleet.createReport(target));
          queue.add(LINK_MS, () => policy.finish(request, target));
          if (!isMeasured) return;
          latencySum += clock.getNow() + LINK_MS - startMs;
          finished += 1;
        },
      );
      reportLoad(policy, fleet.createReport(target));
    });
  }

  let id = 0;
  function addArrivals(): void {
    sendRequest(drawRequest(random, id, options.entries));
    id += 1;
    queue.add((-1000 / options.rate) * Math.log(1 - random.next()), addArrivals);
  }
  function closeWindow(): void {
    if (clock.getNow() >= WARM_UP_MS) peaks.push(Math.max(0, ...window.values()));
    window = new Map();
    queue.add(WINDOW_MS, closeWindow);
  }
  addArrivals();
  closeWindow();
  queue.run(WARM_UP_MS + RUN_MS);

  let saved = 0;
  for (const rank of fleet.ranks) saved += rank.savedTokens;
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0);
  return {
    meanStepMs: sum(stepMs) / stepMs.length,
    p95StepMs: computeQuantile(stepMs, 0.95),
    skew: skewSum / steps,
    p95FirstTokenMs: computeQuantile(firstTokenMs, 0.95),
    meanLatencyMs: latencySum / finished,
    cachedShare: saved / promptTokens,
    windowPeak: sum(peaks) / peaks.length,
    finished,
  };
}
