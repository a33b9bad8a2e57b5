import { expect, it } from 'vitest';
import { GroupPlanner, ManualClock, createInitialMap } from '../../src/index.js';

const RANKS = 96;
const SETS = 4;
const EXPERTS = 192;
const INTERVAL_MS = 100;
const INTERVALS = 100;

const MODEL = {
  sets: SETS,
  count: EXPERTS,
  slotsPerRank: 3,
  spareSlots: 2,
  copyMs: 18,
  workShare: 0.85,
};

/** Builds counts with some popular experts, which move with `shift`. */
function createCounts(shift: number): number[] {
  return Array.from({ length: SETS * EXPERTS }, (_, index) => {
    const place = ((index % EXPERTS) + shift) % EXPERTS;
    return Math.round(20_000 / (1 + place));
  });
}

// Guards against a planner whose processor is busy with searches for maps that it never uses.
it('does not repeat a search for a map while the demand stays the same', () => {
  const clock = new ManualClock();
  const planner = new GroupPlanner(clock, MODEL);
  let map = createInitialMap(SETS, EXPERTS, RANKS);
  let plans = 0;
  const runIntervals = (counts: readonly number[]): number => {
    const searches = planner.countSearches();
    for (let interval = 0; interval < INTERVALS; interval += 1) {
      clock.advance(INTERVAL_MS);
      planner.addCounts(counts);
      planner.closeInterval();
      const plan = planner.plan(map);
      if (plan === null) continue;
      plans += 1;
      map = plan.sets;
    }
    return planner.countSearches() - searches;
  };
  const seconds = (INTERVALS * INTERVAL_MS) / 1000;
  expect(runIntervals(createCounts(0))).toBeLessThanOrEqual(seconds + plans);
  const plansBefore = plans;
  expect(plansBefore).toBeGreaterThan(0);
  expect(runIntervals(createCounts(60))).toBeLessThanOrEqual(seconds + plans);
  // A shift of demand is planned for as before.
  expect(plans).toBeGreaterThan(plansBefore);
});
