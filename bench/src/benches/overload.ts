import { RequestId, SeededRandom, TargetId, Workspace } from '@limpetbay/core';
import type { AdmissionItem } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { AgentModel } from './fleet/AgentModel.js';
import { EventLoop } from './fleet/EventLoop.js';
import type { Gate } from './fleet/Gate.js';
import { SimpleGate } from './fleet/SimpleGate.js';
import { TargetModel } from './fleet/TargetModel.js';
import type { TargetShape } from './fleet/TargetShape.js';
import { buildAdmission } from './fleet/buildAdmission.js';
import { buildDocument } from './fleet/buildDocument.js';

/** The worst run counts: one seed says little about a limit that is searched for. */
const SEEDS = [20_260_102, 1, 2, 3, 4, 5, 6];
/** Half of what the document allows, so that the limit has to be found. */
const KNEE = 32;
const MAX_IN_FLIGHT = 64;
const MEAN_WORK_MS = 200;
const DEADLINE_MS = 2000;
const SMALL_WORKSPACES = 40;
/** The small workspaces together offer half the capacity, the flooding one the rest of twice. */
const SMALL_LOAD = 0.5;
const LOAD = 2;
/** The ramp is over by then. */
const START_MS = 30_000;
const END_MS = 90_000;

interface Figures {
  /** Completed in time over what the capacity allows. */
  readonly inTime: number;
  /** Completed in time over offered, for the small workspaces. */
  readonly smallShare: number;
}

interface Case {
  readonly name: string;
  readonly kind: TargetShape['kind'];
  /** Whether the work of a request spreads as much as its mean, or by half of it at most. */
  readonly exponential: boolean;
  readonly reportsSteps: boolean;
}

const cases: readonly Case[] = [
  { name: 'batch', kind: 'batch', exponential: false, reportsSteps: false },
  { name: 'pool', kind: 'pool', exponential: false, reportsSteps: false },
  { name: 'batch_exponential', kind: 'batch', exponential: true, reportsSteps: false },
  { name: 'batch_steps', kind: 'batch', exponential: true, reportsSteps: true },
  { name: 'pool_exponential', kind: 'pool', exponential: true, reportsSteps: false },
];

function runTarget(
  seed: number,
  { kind, exponential, reportsSteps }: Case,
  fifo: boolean,
): Figures {
  const loop = new EventLoop();
  const random = new SeededRandom(seed);
  const limits = { maxInFlight: MAX_IN_FLIGHT, queue: 128 };
  const gate: Gate = fifo
    ? new SimpleGate(TargetId.parse('canerota-0'), () => KNEE)
    : buildAdmission(loop, 'canerota-0', 'a', buildDocument(1, ['a'], [], limits));
  const shape = { kind, knee: KNEE, coldKnee: KNEE, coldSpeed: 1, warmUpMs: 0 };
  const agent = new AgentModel(loop, gate, new TargetModel(loop, shape, true));
  agent.reportsSteps = reportsSteps;
  const slowdown = kind === 'batch' ? 2 : 1;
  const capacityPerMs = KNEE / (slowdown * MEAN_WORK_MS);
  let requests = 0;
  let inTime = 0;
  let smallOffered = 0;
  let smallInTime = 0;
  const offer = (): void => {
    requests += 1;
    const nowMs = loop.getNow();
    const counted = nowMs >= START_MS && nowMs < END_MS - DEADLINE_MS;
    const small = random.next() < SMALL_LOAD / LOAD;
    const name = small ? `small-${Math.floor(random.next() * SMALL_WORKSPACES)}` : 'flood';
    const item: AdmissionItem = {
      requestId: RequestId.parse(`r${requests}`),
      attempt: 1,
      workspace: Workspace.parse(name),
      priority: 'normal',
      deadlineMs: nowMs + DEADLINE_MS,
      promptTokens: 0,
      maxTokens: 0,
    };
    if (counted && small) smallOffered += 1;
    const spread = exponential ? -Math.log(1 - random.next()) : 0.5 + random.next();
    agent.submit(item, MEAN_WORK_MS * spread, ({ failure, error }) => {
      if (!counted || failure !== null || error || loop.getNow() > item.deadlineMs) return;
      inTime += 1;
      if (small) smallInTime += 1;
    });
    loop.schedule(-Math.log(1 - random.next()) / (LOAD * capacityPerMs), offer);
  };
  offer();
  loop.run(END_MS);
  return {
    inTime: inTime / (capacityPerMs * (END_MS - DEADLINE_MS - START_MS)),
    smallShare: smallInTime / smallOffered,
  };
}

function findLowest(results: readonly BenchResult[]): BenchResult {
  let lowest = results[0] as BenchResult;
  for (const result of results) {
    if (result.figure < lowest.figure) lowest = result;
  }
  return lowest;
}

/** Twice the capacity is offered to one target, most of it by one workspace. */
export const overload: Bench = {
  name: 'overload',
  deterministic: true,
  run(): Promise<BenchResult[]> {
    const results: BenchResult[] = [];
    for (const item of cases) {
      const inTime: BenchResult[] = [];
      const small: BenchResult[] = [];
      for (const seed of SEEDS) {
        const ours = runTarget(seed, item, false);
        const fifo = runTarget(seed, item, true);
        const name = `overload.${item.name}`;
        inTime.push(createResult(`${name}.in_time`, seed, ours.inTime, 'of capacity', fifo.inTime));
        small.push(
          createResult(`${name}.small`, seed, ours.smallShare, 'of offered', fifo.smallShare),
        );
      }
      results.push(findLowest(inTime), findLowest(small));
    }
    return Promise.resolve(results);
  },
};
