import {
  ManualClock,
  MapSwitchPlanner,
  PlacementPlanner,
  PlannerLease,
  createRoundRobinLayer,
  ExpertLoadEstimator,
  SeededRandom,
  type Epoch,
  type ExpertMap,
  type Incarnation,
  type LayerPlacement,
  type MapRecord,
  type PlannerAction,
  type Revision,
} from '@limpetbay/core';
import type { CapacitySlope } from './CapacitySlope.js';
import { designSize } from './designSize.js';
import { measureCpu } from './measureCpu.js';
import { measureHeap } from './measureHeap.js';
import { measureSlope } from './measureSlope.js';

const SEED = 20_260_101;
const RANKS = [8, 32, 128, 256];
const SPARE_SLOTS = 2;
const PLANS = 4;
const SMALL_COPIES = 32;
const CHECKS = 200;

const COST = {
  bytesPerCopy: 44e6,
  weightBytesPerSecond: 12e9 / designSize.layers,
  lossPerLoadSecond: 0.1,
  stallSeconds: 0,
  expertShare: 0.5,
  maxLoadsPerRank: 2,
};

interface SwitchTraffic {
  readonly messages: number;
  readonly bytes: number;
  readonly writes: number;
}

function createLayer(ranks: number): LayerPlacement {
  const slots = Math.ceil(designSize.experts / ranks) + SPARE_SLOTS;
  return createRoundRobinLayer(designSize.experts, ranks, slots);
}

/** Shares of the experts by Zipf's law with exponent 0.75 in a seeded order. */
function createShares(random: SeededRandom): number[] {
  const weights = Array.from({ length: designSize.experts }, (_, place) => (place + 1) ** -0.75);
  const order = weights.map((weight) => ({ weight, at: random.next() }));
  order.sort((a, b) => a.at - b.at);
  return order.map(({ weight }) => weight);
}

function plan(
  ranks: number,
  times: number,
): { planner: PlacementPlanner; load: ExpertLoadEstimator; layer: LayerPlacement } {
  const random = new SeededRandom(SEED);
  const clock = new ManualClock();
  const load = new ExpertLoadEstimator();
  const planner = new PlacementPlanner(clock, COST);
  let layer = createLayer(ranks);
  for (let index = 0; index < times; index += 1) {
    clock.advance(60_000);
    const counts = createShares(random).map((share) => Math.round(1e6 * share));
    load.addCounts(counts, clock.getNow());
    const { next } = planner.choosePlacement(layer, load.getShares());
    if (next === null) continue;
    layer = next;
    planner.recordChange();
  }
  return { planner, load, layer };
}

function createRecord(ranks: number, layers: ExpertMap['layers']): MapRecord {
  return {
    epoch: 3 as Epoch,
    operation: 'agent-7/1767225600000000/3/committed/41',
    status: 'committed',
    boundary: 1_500_000,
    incarnations: Array.from({ length: ranks }, () => 1_767_225_600_000_000 as Incarnation),
    map: { version: 41, layers },
    previous: { version: 40, layers },
  };
}

/** Builds what the planner of a group holds between two plans. */
function buildPlannerState(ranks: number, layer: LayerPlacement): unknown {
  const load = new ExpertLoadEstimator();
  load.addCounts(createShares(new SeededRandom(SEED)), 0);
  const record = structuredClone(createRecord(ranks, [layer]));
  return [load, new PlacementPlanner(new ManualClock(), COST), structuredClone(layer), record];
}

/** Runs a switch in which every rank agrees, and counts what it sends and writes. */
function runSwitch(ranks: number): SwitchTraffic {
  const clock = new ManualClock();
  const lease = new PlannerLease(clock);
  lease.recordAcquisition(0, 10_000, 3 as Epoch, 2 as Revision);
  const operations = 'agent-7/1767225600000000';
  const planner = new MapSwitchPlanner({ ranks, leadSteps: 40, operations }, lease);
  const layers = [plan(ranks, 2).layer];
  planner.handleStoreRecord(createRecord(ranks, layers), 1 as Revision);
  const traffic = { messages: 0, bytes: 0, writes: 0 };
  const incarnation = 1_767_225_600_000_000 as Incarnation;
  const queue: PlannerAction[] = planner.startSwitch(layers);
  let revision = 1;
  for (let action = queue.shift(); action !== undefined; action = queue.shift()) {
    traffic.bytes += Buffer.byteLength(JSON.stringify(action));
    const common = { incarnation, version: 42, refusal: null, grantedUntil: 1_500_100 };
    if (action.kind === 'write') {
      traffic.writes += 1;
      revision += 1;
      queue.push(...planner.handleWriteResult(action.record.operation, revision as Revision));
    } else if (action.kind === 'prepare') {
      const reply = { ...common, rank: action.rank, isLoaded: true, inForce: 41 };
      traffic.messages += 2;
      traffic.bytes += Buffer.byteLength(JSON.stringify(reply));
      queue.push(...planner.handlePrepareReply(reply));
    } else if (action.kind === 'promise') {
      const reply = { ...common, rank: action.rank };
      traffic.messages += 2;
      traffic.bytes += Buffer.byteLength(JSON.stringify(reply));
      queue.push(...planner.handlePromiseReply(reply));
    } else traffic.messages += 1;
  }
  return traffic;
}

/** Measures the lines of the agent that plans a group. */
export async function measurePlanner(): Promise<CapacitySlope[]> {
  return [
    await measureSlope(
      { id: 'planner.memory', unit: 'bytes', per: 'rank', kind: 'memory' },
      RANKS,
      (ranks) => {
        const { layer } = plan(ranks, 1);
        return measureHeap(() => buildPlannerState(ranks, layer), SMALL_COPIES);
      },
    ),
    await measureSlope(
      { id: 'planner.plan', unit: 'us', per: 'rank', kind: 'time' },
      RANKS,
      (ranks) => {
        plan(ranks, 2);
        return measureCpu(1, () => void plan(ranks, PLANS)) / PLANS;
      },
    ),
    await measureSlope(
      // The line over ranks fits badly, so the design size has a line of its own.
      { id: 'planner.plan-256', unit: 'us', per: 'plan at 256 ranks', kind: 'time' },
      [3, 6, 12],
      (plans) => measureCpu(1, () => void plan(designSize.ranks, plans)),
    ),
    await measureSlope(
      { id: 'planner.check', unit: 'us', per: 'rank', kind: 'time' },
      RANKS,
      (ranks) => {
        // Equal loads on equal ranks: the usual case, in which the map is kept.
        const { planner } = plan(ranks, 1);
        const layer = createLayer(ranks);
        const shares = Array.from({ length: designSize.experts }, () => 1 / designSize.experts);
        const check = (): void => void planner.choosePlacement(layer, shares);
        measureCpu(CHECKS, check);
        return measureCpu(CHECKS, check) / CHECKS;
      },
    ),
    await measureSlope(
      { id: 'planner.messages', unit: 'messages', per: 'rank', kind: 'exact' },
      RANKS,
      (ranks) => runSwitch(ranks).messages,
    ),
    await measureSlope(
      // Every message carries maps of all ranks, so the bytes for one rank grow with the ranks.
      { id: 'planner.bytes', unit: 'bytes to and from a rank', per: 'rank', kind: 'exact' },
      RANKS,
      (ranks) => runSwitch(ranks).bytes / ranks,
    ),
    await measureSlope(
      { id: 'planner.writes', unit: 'store writes', per: 'switch', kind: 'exact' },
      [1, 2, 4],
      (switches) => {
        let writes = 0;
        for (let index = 0; index < switches; index += 1) writes += runSwitch(32).writes;
        return writes;
      },
    ),
    await measureSlope(
      { id: 'planner.record', unit: 'bytes', per: 'layer at 256 ranks', kind: 'exact' },
      [1, 8, 58],
      (count) => {
        const { layer } = plan(designSize.ranks, 2);
        const layers = Array.from({ length: count }, () => layer);
        return Buffer.byteLength(JSON.stringify(createRecord(designSize.ranks, layers)));
      },
    ),
  ];
}
