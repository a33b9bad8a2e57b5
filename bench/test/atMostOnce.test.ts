import { describe, expect, it } from 'vitest';
import { Tally } from '../src/benches/atMostOnce/Tally.js';
import { runSchedule } from '../src/benches/atMostOnce/runSchedule.js';
import type { Variant } from '../src/benches/atMostOnce/Variant.js';

type Violation = 'doubledRuns' | 'wronglyNotRun' | 'wrongAnswers' | 'lateRuns' | 'blockedKeys';

/** Runs up to 400 schedules until one shows the violation; returns its seed, else null. */
async function findSeed(
  variant: Variant,
  violation: Violation,
  firstSeed: number,
): Promise<number | null> {
  for (let seed = firstSeed; seed < firstSeed + 400; seed += 1) {
    const tally = await runSchedule(seed, variant);
    if (tally[violation] > 0) return seed;
  }
  return null;
}

// Each variant breaks one rule, and the schedules must detect the violation listed with it. Guards
// against schedules that pass whatever the product does.
const brokenRules: [variant: Variant, violation: Violation, firstSeed?: number][] = [
  ['claim-after-dispatch', 'doubledRuns'],
  ['release-after-dispatch', 'doubledRuns'],
  ['retry-after-break', 'doubledRuns'],
  ['refused-after-dispatch', 'wronglyNotRun'],
  ['no-frame-check', 'wrongAnswers'],
  ['unanswered-write-as-failure', 'blockedKeys'],
  ['unanswered-write-as-success', 'doubledRuns'],
  // Rare (2 in 1000 schedules): it needs a late store call, a conflict and a release of one key.
  ['delete-on-release', 'blockedKeys', 1001],
  ['departed-owner-as-free', 'doubledRuns'],
  ['no-duplicate-check', 'doubledRuns'],
  ['duplicate-check-after-refusals', 'wronglyNotRun'],
  ['no-deadline-check', 'lateRuns'],
  ['ignore-earlier-attempts', 'wronglyNotRun'],
  ['clean-end-on-break', 'wrongAnswers'],
];

describe('at-most-once schedules', () => {
  // Guards against a second run of a request, a false report that it did not run, and an answer to
  // another request.
  it('show no violation when all rules are kept', async () => {
    const total = new Tally();
    for (let seed = 1; seed <= 300; seed += 1) total.add(await runSchedule(seed, 'none'));
    expect(total.sumViolations()).toBe(0);
    expect(total.runs).toBeGreaterThan(1000);
    expect(total.replayed).toBeGreaterThan(100);
  });

  it.each(brokenRules)('detect the variant %s by %s', async (variant, violation, firstSeed = 1) => {
    expect(await findSeed(variant, violation, firstSeed)).not.toBeNull();
  });
});
