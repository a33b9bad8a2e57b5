import {
  ExpertLoadEstimator,
  ManualClock,
  PlacementPlanner,
  SeededRandom,
  computeSkew,
  countMoves,
  createRoundRobinLayer,
  packLayer,
} from '@limpetbay/core';
import type { ChangeCost, LayerPlacement, RandomSource } from '@limpetbay/core';
import type { Bench } from '../report/Bench.js';
import type { BenchResult } from '../report/BenchResult.js';
import { createResult } from '../report/createResult.js';
import { ExpertDay } from './ExpertDay.js';
import { sampleNormal } from './sampleNormal.js';

const SEED = 20_260_101;
const EXPERTS = 128;
const SPARE_SLOTS = 2;
const SIZES = [8, 32, 128, 256];
const DAY_SECONDS = 86_400;

/** Counts cover one tick and arrive 10 s after the end of that interval. */
const TICK_SECONDS = 10;
const LAG_SECONDS = 10;

/** Time from loaded weights to the boundary step. */
const SWITCH_SECONDS = 2;

/** Design size: 1.4 million tokens/s over 4,500 accelerators, 57 ms a step, 8 experts a token. */
const TOKENS_PER_RANK_SECOND = 311;
const EXPERTS_PER_TOKEN = 8;
const STEP_SECONDS = 0.057;

/** One layer of 58 with copies of 44 MB, at its share of a weight store of 12 GB/s a group. */
const COST: ChangeCost = {
  bytesPerCopy: 44e6,
  weightBytesPerSecond: 12e9 / 58,
  lossPerLoadSecond: 0.1,
  stallSeconds: 0,
  expertShare: 0.5,
  maxLoadsPerRank: 2,
};

/** A way to choose the map. */
interface Strategy {
  /** @returns the next placement, or null to keep it */
  choose(layer: LayerPlacement, loads: readonly number[]): LayerPlacement | null;
  recordChange(): void;
}

interface DayFigures {
  readonly p95: number;
  readonly worstOutsideJumps: number;
  readonly moves: number;
  readonly changes: number;
}

function sampleCounts(shares: readonly number[], tokens: number, random: RandomSource): number[] {
  return shares.map((share) => {
    const mean = share * tokens;
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * sampleNormal(random)));
  });
}

function getQuantile(sorted: readonly number[], quantile: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))] ?? NaN;
}

/** Runs one strategy over the day, with lagging counts and time to load weights. */
function simulateDay(
  shares: readonly number[][],
  jumps: readonly number[],
  ranks: number,
  start: LayerPlacement,
  clock: ManualClock,
  strategy: Strategy,
): DayFigures {
  const random = new SeededRandom(SEED + ranks);
  const tokens = ranks * TOKENS_PER_RANK_SECOND * EXPERTS_PER_TOKEN * TICK_SECONDS;
  const load = new ExpertLoadEstimator();
  const late: { readonly atSeconds: number; readonly counts: number[] }[] = [];
  const skews: number[] = [];
  let layer = start;
  let pending: { readonly layer: LayerPlacement; readonly atSeconds: number } | null = null;
  let worstOutsideJumps = 0;
  let moves = 0;
  let changes = 0;
  for (let at = 0; at < DAY_SECONDS; at += TICK_SECONDS) {
    if (pending !== null && at >= pending.atSeconds) {
      layer = pending.layer;
      pending = null;
      changes += 1;
      strategy.recordChange();
    }
    if (at >= TICK_SECONDS) {
      // Counts follow the popularity at the start of the interval, which adds to the lag.
      const counts = sampleCounts(shares[at / TICK_SECONDS - 1] ?? [], tokens, random);
      late.push({ atSeconds: at, counts });
    }
    const [oldest] = late;
    if (oldest !== undefined && at >= oldest.atSeconds + LAG_SECONDS) {
      late.shift();
      load.addCounts(oldest.counts, oldest.atSeconds * 1000);
      const next: LayerPlacement | null =
        pending === null ? strategy.choose(layer, load.getShares()) : null;
      if (next !== null) {
        const copies = countMoves(layer, next);
        const loadSeconds = (copies * COST.bytesPerCopy) / COST.weightBytesPerSecond;
        pending = { layer: next, atSeconds: at + loadSeconds + SWITCH_SECONDS };
        moves += copies;
      }
    }
    const skew = computeSkew(layer, shares[at / TICK_SECONDS] ?? []);
    skews.push(skew);
    const isAfterJump = jumps.some((jump) => at >= jump && at < jump + 60);
    if (!isAfterJump) worstOutsideJumps = Math.max(worstOutsideJumps, skew);
    clock.advance(TICK_SECONDS * 1000);
  }
  skews.sort((a, b) => a - b);
  return { p95: getQuantile(skews, 0.95), worstOutsideJumps, moves, changes };
}

/** Mean over steps of slowest rank / mean rank when the map is perfect and tokens fall at random. */
function sampleStepFloor(ranks: number): number {
  const random = new SeededRandom(SEED);
  const mean = Math.round(TOKENS_PER_RANK_SECOND * STEP_SECONDS * EXPERTS_PER_TOKEN);
  let sum = 0;
  const steps = 40;
  for (let step = 0; step < steps; step += 1) {
    const counts = new Uint32Array(ranks);
    for (let token = 0; token < mean * ranks; token += 1) {
      const rank = Math.floor(random.next() * ranks);
      counts[rank] = (counts[rank] ?? 0) + 1;
    }
    sum += Math.max(...counts) / mean;
  }
  return sum / steps;
}

function runSize(ranks: number, shares: readonly number[][], jumps: number[]): BenchResult[] {
  const baseSlots = Math.ceil(EXPERTS / ranks);
  const slots = baseSlots + SPARE_SLOTS;
  const first = packLayer(shares[0] ?? [], ranks, slots);
  const clock = new ManualClock();
  const planner = new PlacementPlanner(clock, COST);
  const planned = simulateDay(shares, jumps, ranks, first, clock, {
    choose: (layer, loads) => planner.choosePlacement(layer, loads).next,
    recordChange: () => planner.recordChange(),
  });
  const always = simulateDay(shares, jumps, ranks, first, new ManualClock(), {
    choose: (_, loads) => packLayer(loads, ranks, slots),
    recordChange: () => undefined,
  });
  const still = { choose: () => null, recordChange: () => undefined };
  const fixed = simulateDay(shares, jumps, ranks, first, new ManualClock(), still);
  const base = createRoundRobinLayer(EXPERTS, ranks, baseSlots);
  const spareless = simulateDay(shares, jumps, ranks, base, new ManualClock(), still);
  const prefix = `skew.${ranks}`;
  return [
    createResult(`${prefix}.p95`, SEED, planned.p95, 'slowest/mean', always.p95),
    createResult(
      `${prefix}.worst`,
      SEED,
      planned.worstOutsideJumps,
      'slowest/mean',
      always.worstOutsideJumps,
    ),
    createResult(`${prefix}.bytes-ratio`, SEED, planned.moves / always.moves, 'of replan-always'),
    createResult(
      `${prefix}.bytes`,
      SEED,
      planned.moves * COST.bytesPerCopy,
      'bytes/layer/day',
      always.moves * COST.bytesPerCopy,
    ),
    createResult(`${prefix}.changes`, SEED, planned.changes, 'changes/day', always.changes),
    createResult(`${prefix}.static.p95`, SEED, fixed.p95, 'slowest/mean'),
    createResult(`${prefix}.no-spare.p95`, SEED, spareless.p95, 'slowest/mean'),
    createResult(`${prefix}.lower-bound`, SEED, 1, 'slowest/mean'),
    createResult(`${prefix}.step-floor`, SEED, sampleStepFloor(ranks), 'slowest/mean'),
  ];
}

/** Balance of the expert map over a day at several group sizes, and the bytes that it costs. */
export const skewBench: Bench = {
  name: 'skew',
  deterministic: true,
  async run(): Promise<BenchResult[]> {
    const day = new ExpertDay(EXPERTS, new SeededRandom(SEED));
    const shares: number[][] = [];
    for (let at = 0; at < DAY_SECONDS; at += TICK_SECONDS) shares.push(day.getShares(at));
    return SIZES.flatMap((ranks) => runSize(ranks, shares, day.getJumps()));
  },
};
