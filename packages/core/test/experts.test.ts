import { describe, expect, it } from 'vitest';
import {
  ExpertLoad,
  LayerPlacement,
  ManualClock,
  PlacementPlanner,
  PlacementSearch,
  SeededRandom,
  computeRankLoads,
  computeSkew,
  countMoves,
  createBaseLayer,
  packLayer,
  rebuildLayer,
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
  // Guards against an expert without a copy, a rank with two copies of one, and lost slots.
  it('keeps every expert placed and every slot used', () => {
    const random = new SeededRandom(7);
    for (const ranks of [4, 8, 16, 32]) {
      const slots = Math.ceil(32 / ranks) + 2;
      let layer = packLayer(createZipf(32, 1), ranks, slots);
      for (let round = 0; round < 5; round += 1) {
        const loads = Array.from({ length: 32 }, () => random.next() ** 4 + 0.001);
        const repacked = rebuildLayer(layer, loads, 2);
        const found = new PlacementSearch(repacked, loads, LIMITS, layer).run();
        for (const next of [repacked, ...found.map((step) => step.layer)]) {
          expect(LayerPlacement.safeParse(next).success).toBe(true);
          expect(listExperts(next)).toHaveLength(32);
          expect(next.ranks.every((row) => row.length === slots)).toBe(true);
        }
        layer = found[found.length - 1]?.layer ?? layer;
      }
    }
  });

  // Guards against a search that reports another skew or number of moves than its map has, or
  // loads more copies on a rank than there is memory for.
  it('reports the moves and the skew of the map it returns', () => {
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

  // Guards against shares of the map being ignored when loads are predicted.
  it('splits load evenly unless the map carries shares', () => {
    const ranks = [[0], [0, 1]];
    expect(computeRankLoads({ ranks }, [4, 1])).toEqual([2, 3]);
    expect(computeRankLoads({ ranks, shares: [[0.75], [0.25, 1]] }, [4, 1])).toEqual([3, 2]);
  });

  // Guards against a base layout that leaves out experts when ranks outnumber them.
  it('covers all experts with base slots on more ranks than experts', () => {
    expect(listExperts(createBaseLayer(128, 256, 1))).toHaveLength(128);
    expect(listExperts(createBaseLayer(128, 8, 16))).toHaveLength(128);
  });
});

describe('ExpertLoad', () => {
  // Guards against smoothing that hides a jump for a minute.
  it('follows a jump at once and drift slowly', () => {
    const load = new ExpertLoad();
    load.acceptCounts([5000, 3000, 2000], 10_000);
    expect(load.acceptCounts([5030, 2980, 1990], 20_000)).toBe(false);
    expect(load.getShares()[0]).toBeLessThan(0.502);
    expect(load.acceptCounts([2000, 3000, 5000], 30_000)).toBe(true);
    expect(load.getShares()[0]).toBeCloseTo(0.2, 2);
    expect(load.getLastJumpMs()).toBe(30_000);
  });

  // Guards against a late report that overwrites a newer one.
  it('drops reports that arrive out of order', () => {
    const load = new ExpertLoad();
    load.acceptCounts([1, 3], 20_000);
    load.acceptCounts([3, 1], 10_000);
    expect(load.getShares()).toEqual([0.25, 0.75]);
  });
});

describe('PlacementPlanner', () => {
  const layer = packLayer(createZipf(64, 1), 16, 6);
  const drifted = createZipf(64, 1).map((share, expert) => share * (expert % 5 === 0 ? 1.5 : 1));

  // Guards against planners that answer differently after a takeover with the same data.
  it('is deterministic', () => {
    const choose = () =>
      new PlacementPlanner(new ManualClock(), COST).choosePlacement(layer, drifted);
    expect(choose()).toEqual(choose());
    expect(choose().reason).toBe('change');
  });

  // Guards against moving copies whose loading costs more than they save.
  it('keeps the map where loading costs more than it saves', () => {
    const dear = { ...COST, weightBytesPerSecond: 1e3 };
    const choice = new PlacementPlanner(new ManualClock(), dear).choosePlacement(layer, drifted);
    expect(choice.reason).toBe('not_worthwhile');
    expect(choice.next).toBeNull();
  });

  // Guards against a map that flaps between two loads around the threshold.
  it('keeps the map for small imbalance and shortly after a change', () => {
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

// Guards against a first map that the schema refuses, where a group is smaller than its slots: its
// ranks would never get a map and never run a step.
it('gives a small group a first layer without two copies on a rank', () => {
  const layer = createBaseLayer(8, 1, 10);
  expect(LayerPlacement.safeParse(layer).success).toBe(true);
  expect(layer.ranks[0]).toHaveLength(8);
});
