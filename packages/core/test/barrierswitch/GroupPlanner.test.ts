import { describe, expect, it } from 'vitest';
import { GroupPlanner, ManualClock, createInitialMap } from '../../src/index.js';

const RANKS = 32;
const SETS = 12;
const EXPERTS = 128;

/** Plans for a group whose demand follows Zipf's law. */
function planFirstMap(copyMs: number): ReturnType<GroupPlanner['plan']> {
  const clock = new ManualClock();
  const model = { sets: SETS, count: EXPERTS, slotsPerRank: 5, spareSlots: 2, workShare: 0.85 };
  const planner = new GroupPlanner(clock, { ...model, copyMs });
  const counts = Array.from({ length: SETS * EXPERTS }, (_, index) =>
    Math.round(100_000 * ((index % EXPERTS) + 1) ** -0.8),
  );
  planner.addCounts(counts);
  clock.advance(100);
  planner.closeInterval();
  return planner.plan(createInitialMap(SETS, EXPERTS, RANKS));
}

describe('GroupPlanner', () => {
  // Guards against a limit of copies for slow loading in groups that load an expert in 37 ms.
  it('loads more copies in one change where each takes less time', () => {
    const slow = planFirstMap(148);
    const fast = planFirstMap(37);
    expect(slow?.copies).toBe(2);
    expect(fast?.copies).toBe(4);
    expect(fast?.skewNext).toBeLessThan(slow?.skewNext ?? 0);
  });

  it('plans no change that gains less than its loading costs', () => {
    expect(planFirstMap(5000)).toBeNull();
  });
});
