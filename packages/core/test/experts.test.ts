import { describe, expect, it } from 'vitest';
import {
  ExpertLoadEstimator,
  LayerPlacement,
  ManualClock,
  PlacementPlanner,
  PlacementSearch,
  SeededRandom,
  computeRankLoads,
  computeSkew,
  countMoves,
  createRoundRobinLayer,
  packLayer,
  adjustCopyCounts,
} from '@limpetbay/core';
import type { ChangeCost } from '@limpetbay/core';

const COST: ChangeCost = {
  bytesPerCopy: 1e6,
  weightBytesPerSecond: 1e8,
  lossPerLoadSecond: 0.1,
  stallSeconds: 0,
  expertShare: 0.5,
  maxLoadsPerRank: 2,
};
const LIMITS = { targetSkew: 1.02, maxMoves: 48, maxLoadsPerRank: 2 };

function createZipf(experts: number, exponent: number): number[] {
  return Array.from({ length: experts }, (_, expert) => (expert + 1) ** -exponent);
}

function listExperts(layer: LayerPlacement): number[] {
  return [...new Set(layer.ranks.flat())].sort((a, b) => a - b);
}

describe('placement', () => {
  // Guards against a search that removes the last copy of an expert, places two copies of it on a
  // rank, or leaves a slot empty.
  it('keeps every expert placed and every slot used', () => {
    const random = new SeededRandom(7);
    for (const ranks of [4, 8, 16, 32]) {
      const slots = Math.ceil(32 / ranks) + 2;
      let layer = packLayer(createZipf(32, 1), ranks, slots);
      for (let round = 0; round < 5; round += 1) {
        const loads = Array.from({ length: 32 }, () => random.next() ** 4 + 0.001);
        const repacked = adjustCopyCounts(layer, loads, 2);
        const candidates = new PlacementSearch(repacked, loads, LIMITS, layer).run();
        for (const next of [repacked, ...candidates.map((candidate) => candidate.layer)]) {
          expect(LayerPlacement.safeParse(next).success).toBe(true);
          expect(listExperts(next)).toHaveLength(32);
          expect(next.ranks.every((experts) => experts.length === slots)).toBe(true);
        }
        layer = candidates[candidates.length - 1]?.layer ?? layer;
      }
    }
  });

  // Guards against a search whose reported skew or moves differ from those of its map, or that
  // loads more copies on a rank than fit into memory.
  it('reports the moves and skew of each map and respects the memory limit per rank', () => {
    const layer = packLayer(createZipf(64, 1), 16, 6);
    const loads = createZipf(64, 0.6).reverse();
    for (const step of new PlacementSearch(layer, loads, LIMITS).run()) {
      expect(step.skew).toBeCloseTo(computeSkew(step.layer, loads), 9);
      expect(step.moves).toBe(countMoves(layer, step.layer));
      for (const [rank, slots] of step.layer.ranks.entries()) {
        const loaded = slots.filter((expert) => !layer.ranks[rank]?.includes(expert));
        expect(loaded.length).toBeLessThanOrEqual(LIMITS.maxLoadsPerRank);
      }
    }
  });

  // Guards against a prediction of rank loads that ignores the shares in the map.
  it('splits load evenly over copies unless the map has shares', () => {
    const ranks = [[0], [0, 1]];
    expect(computeRankLoads({ ranks }, [4, 1])).toEqual([2, 3]);
    expect(computeRankLoads({ ranks, shares: [[0.75], [0.25, 1]] }, [4, 1])).toEqual([3, 2]);
  });

  // Guards against a base layer that omits experts when a group has more ranks than experts.
  it('places all experts in the base slots, also with more ranks than experts', () => {
    expect(listExperts(createRoundRobinLayer(128, 256, 1))).toHaveLength(128);
    expect(listExperts(createRoundRobinLayer(128, 8, 16))).toHaveLength(128);
  });
});

describe('ExpertLoad', () => {
  // Guards against smoothing that delays the response to a jump by its time constant, 45 s.
  it('follows a jump immediately and smooths drift', () => {
    const load = new ExpertLoadEstimator();
    load.addCounts([5000, 3000, 2000], 10_000);
    expect(load.addCounts([5030, 2980, 1990], 20_000)).toBe(false);
    expect(load.getShares()[0]).toBeLessThan(0.502);
    expect(load.addCounts([2000, 3000, 5000], 30_000)).toBe(true);
    expect(load.getShares()[0]).toBeCloseTo(0.2, 2);
    expect(load.getLastJumpMs()).toBe(30_000);
  });

  // Guards against a late report that overwrites a newer estimate.
  it('drops reports that arrive out of order', () => {
    const load = new ExpertLoadEstimator();
    load.addCounts([1, 3], 20_000);
    load.addCounts([3, 1], 10_000);
    expect(load.getShares()).toEqual([0.25, 0.75]);
  });
});

describe('PlacementPlanner', () => {
  const layer = packLayer(createZipf(64, 1), 16, 6);
  const drifted = createZipf(64, 1).map((share, expert) => share * (expert % 5 === 0 ? 1.5 : 1));

  // Guards against a planner that chooses another map than its predecessor from the same data.
  it('chooses the same placement for the same inputs', () => {
    const choose = () =>
      new PlacementPlanner(new ManualClock(), COST).choosePlacement(layer, drifted);
    expect(choose()).toEqual(choose());
    expect(choose().reason).toBe('change');
  });

  // Guards against a change whose loading costs more group time than the lower skew saves.
  it('keeps the placement if loading costs more than it saves', () => {
    const expensiveCost = { ...COST, weightBytesPerSecond: 1e3 };
    const choice = new PlacementPlanner(new ManualClock(), expensiveCost).choosePlacement(
      layer,
      drifted,
    );
    expect(choice.reason).toBe('not_worthwhile');
    expect(choice.next).toBeNull();
  });

  // Guards against a map that flaps when the skew varies around the threshold.
  it('keeps the placement at low skew and for a moderate skew shortly after a change', () => {
    const clock = new ManualClock();
    const planner = new PlacementPlanner(clock, COST);
    expect(planner.choosePlacement(layer, createZipf(64, 1)).reason).toBe('balanced');
    planner.recordChange();
    const hot = new Set(layer.ranks[0]);
    const skewed = createZipf(64, 1).map((share, expert) => share * (hot.has(expert) ? 1.12 : 1));
    expect(computeSkew(layer, skewed)).toBeGreaterThan(1.06);
    expect(computeSkew(layer, skewed)).toBeLessThan(1.1);
    expect(planner.choosePlacement(layer, skewed).reason).toBe('recent');
  });
});

// Guards against an initial map that the schema rejects because a rank has more slots than there
// are experts: the ranks of such a group would never get a map and never run a step.
it('creates a base layer without duplicate copies when a rank has more slots than experts', () => {
  const layer = createRoundRobinLayer(8, 1, 10);
  expect(LayerPlacement.safeParse(layer).success).toBe(true);
  expect(layer.ranks[0]).toHaveLength(8);
});
