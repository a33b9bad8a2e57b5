import { describe, expect, it } from 'vitest';
import { buildSchedule } from '../src/schedule/buildSchedule.js';
import { profiles } from '../src/schedule/profiles.js';

/** Guards against seeds that can't be replayed. */
describe('a schedule', () => {
  it.each([...profiles])('of the profile %s is the same for the same seed', (_name, profile) => {
    const schedule = buildSchedule(7, 60, profile);
    expect(schedule.length).toBeGreaterThan(20);
    expect(buildSchedule(7, 60, profile)).toEqual(schedule);
    expect(buildSchedule(8, 60, profile)).not.toEqual(schedule);
  });

  it('has every kind of fault of its profile, and ends before the run', () => {
    const profile = profiles.get('full')!;
    const schedule = buildSchedule(1, 600, profile);
    expect(new Set(schedule.map(({ kind }) => kind))).toEqual(new Set(profile.kinds));
    expect(schedule[schedule.length - 1]!.atMs).toBeLessThan(600_000);
  });
});
