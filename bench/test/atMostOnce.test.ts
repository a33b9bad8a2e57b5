import { describe, expect, it } from 'vitest';
import { Tally } from '../src/benches/atMostOnce/Tally.js';
import { runSchedule } from '../src/benches/atMostOnce/runSchedule.js';
import type { Variant } from '../src/benches/atMostOnce/Variant.js';

type Violation = 'doubledRuns' | 'wronglyNotRun' | 'wrongAnswers' | 'lateRuns' | 'blockedKeys';

/** Runs schedules until one shows the violation; returns its seed. */
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

// Each rule broken on purpose, and the violation that must show. Guards against schedules that
// would pass whatever the product does.
const broken: [variant: Variant, violation: Violation, firstSeed?: number][] = [
  ['claim-after-hand-over', 'doubledRuns'],
  ['release-after-hand-over', 'doubledRuns'],
  ['retry-after-break', 'doubledRuns'],
  ['refused-after-hand-over', 'wronglyNotRun'],
  ['no-frame-check', 'wrongAnswers'],
  ['lost-answer-as-failure', 'blockedKeys'],
  ['lost-answer-as-success', 'doubledRuns'],
  // Rare (2 in 1000 schedules): needs a late store call, a conflict and a release of one key.
  ['delete-on-release', 'blockedKeys', 1001],
  ['gone-owner-as-free', 'doubledRuns'],
  ['no-duplicate-check', 'doubledRuns'],
  ['duplicate-check-after-refusals', 'wronglyNotRun'],
  ['no-deadline-check', 'lateRuns'],
  ['forget-earlier-attempts', 'wronglyNotRun'],
  ['clean-end-on-break', 'wrongAnswers'],
];

describe('at-most-once schedules', () => {
  // Guards against a second run, a false "not run" and another's answer under the product's rules.
  it('show no violation under the rules', async () => {
    const total = new Tally();
    for (let seed = 1; seed <= 300; seed += 1) total.add(await runSchedule(seed, 'none'));
    expect(total.sumViolations()).toBe(0);
    expect(total.runs).toBeGreaterThan(1000);
    expect(total.replayed).toBeGreaterThan(100);
  });

  it.each(broken)('catch %s by %s', async (variant, violation, firstSeed = 1) => {
    expect(await findSeed(variant, violation, firstSeed)).not.toBeNull();
  });
});
