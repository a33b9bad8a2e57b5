import { describe, expect, it } from 'vitest';
import { DemandEstimator, SeededRandom, computeSkew, planReplicas } from '../src/index.js';

const RANKS = 8;
const EXPERTS = 64;
const SETS = 6;
const OPTIONS = { slotsPerRank: 11, newPerRankAndSet: 4, newPerRank: 2 };

/** Creates a placement that assigns the experts round-robin to the ranks, one copy each. */
function createInitialSets(): number[][][] {
  return Array.from({ length: SETS }, () =>
    Array.from({ length: RANKS }, (_, rank) =>
      Array.from({ length: EXPERTS / RANKS }, (__, slot) => slot * RANKS + rank),
    ),
  );
}

/** Creates Zipf-distributed demand with a few hot experts, as after a shift. */
function createDemand(seed: number): number[][] {
  const random = new SeededRandom(seed);
  return Array.from({ length: SETS }, () => {
    const order = Array.from({ length: EXPERTS }, (_, expert) => expert);
    order.sort(() => random.next() - 0.5);
    const loads: number[] = [];
    for (const [position, expert] of order.entries()) loads[expert] = 1 / (position + 1) ** 1.2;
    return loads;
  });
}

function measureSkew(sets: readonly (readonly (readonly number[])[])[], loads: number[][]): number {
  let sum = 0;
  for (const [set, ranks] of sets.entries()) {
    sum += computeSkew({ ranks: ranks.map((experts) => [...experts]) }, loads[set] ?? []);
  }
  return sum / sets.length;
}

describe('planReplicas', () => {
  it('removes more than half of the skew after a demand shift with two new copies per rank', () => {
    for (let seed = 1; seed <= 10; seed += 1) {
      const loads = createDemand(seed);
      const plan = planReplicas(createInitialSets(), loads, OPTIONS);
      expect(plan.skewNow).toBeCloseTo(measureSkew(createInitialSets(), loads), 6);
      expect(plan.skewNext).toBeCloseTo(measureSkew(plan.sets, loads), 6);
      expect(plan.skewNext - 1).toBeLessThan((plan.skewNow - 1) / 2);
    }
  });

  it('keeps a copy of every expert and respects the limits on slots and new copies', () => {
    let sets: readonly (readonly (readonly number[])[])[] = createInitialSets();
    for (let seed = 1; seed <= 12; seed += 1) {
      const plan = planReplicas(sets, createDemand(seed), OPTIONS);
      const added = Array.from({ length: RANKS }, () => 0);
      for (const [set, ranks] of plan.sets.entries()) {
        expect(new Set(ranks.flat()).size).toBe(EXPERTS);
        for (const [rank, experts] of ranks.entries()) {
          expect(experts.length).toBeLessThanOrEqual(OPTIONS.slotsPerRank);
          expect(new Set(experts).size).toBe(experts.length);
          const before = new Set(sets[set]?.[rank]);
          const newCopies = experts.filter((expert) => !before.has(expert)).length;
          expect(newCopies).toBeLessThanOrEqual(OPTIONS.newPerRankAndSet);
          added[rank] = (added[rank] ?? 0) + newCopies;
        }
      }
      expect(Math.max(...added)).toBeLessThanOrEqual(OPTIONS.newPerRank);
      expect(plan.copies).toBe(Math.max(...added));
      sets = plan.sets;
    }
  });

  it('keeps the mean skew below 1.3 when demand shifts after every six changes', () => {
    // Models the pattern `expert_shift`: a shift every 3 s, a change every 0.5 s. Each shift starts
    // from the map that the previous one ended with.
    let sets: readonly (readonly (readonly number[])[])[] = createInitialSets();
    const skews: number[] = [];
    for (let shift = 1; shift <= 10; shift += 1) {
      const loads = createDemand(100 + shift);
      for (let change = 0; change < 6; change += 1) {
        sets = planReplicas(sets, loads, OPTIONS).sets;
        skews.push(measureSkew(sets, loads));
      }
    }
    const mean = skews.reduce((sum, skew) => sum + skew, 0) / skews.length;
    expect(mean).toBeLessThan(1.3);
  });
});

describe('DemandEstimator', () => {
  it('resets only when demand shifts', () => {
    const estimator = new DemandEstimator(1, EXPERTS);
    const before = createDemand(1)[0] ?? [];
    const after = createDemand(2)[0] ?? [];
    for (let interval = 0; interval < 20; interval += 1) {
      expect(estimator.addCounts(before, 100)).toBe(false);
    }
    expect(estimator.addCounts(after, 100)).toBe(true);
    const [loads] = estimator.getLoads() ?? [];
    const hottest = after.indexOf(Math.max(...after));
    expect(loads?.[hottest]).toBe(Math.max(...(loads ?? [])));
  });

  it('returns null before the first counts', () => {
    expect(new DemandEstimator(2, EXPERTS).getLoads()).toBeNull();
  });
});
