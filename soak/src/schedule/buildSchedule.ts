import { SeededRandom } from '@limpetbay/core';
import type { FaultPlan } from './FaultPlan.js';
import type { Profile } from './Profile.js';

/** Faults that follow the first of a series, with a short gap, overlap with it. */
const MAX_SERIES = 4;
const SERIES_SHARE = 0.35;
const SERIES_GAP_MS = 150;

/** Most faults end within 3 s: the longest time that addresses are held or instances frozen. */
const MAX_DURATION_MS = 3000;

const MAX_INDEX = 1024;

/** No fault begins in the last part of a run, so that what was begun is seen to end. */
const QUIET_END_MS = 4000;

/**
 * Builds the faults of a run, in order of time. The same seed, duration and profile give the same
 * schedule.
 *
 * @param seconds duration of the traffic, seconds
 */
export function buildSchedule(seed: number, seconds: number, profile: Profile): FaultPlan[] {
  const random = new SeededRandom(seed);
  const draw = (below: number): number => Math.floor(random.next() * below);
  const plans: FaultPlan[] = [];
  const endMs = seconds * 1000 - QUIET_END_MS;
  let atMs = draw(profile.faultGapMs);
  while (atMs < endMs) {
    const length = random.next() < SERIES_SHARE ? 2 + draw(MAX_SERIES - 1) : 1;
    const index = draw(MAX_INDEX);
    for (let step = 0; step < length; step += 1) {
      plans.push({
        atMs: atMs + step * draw(SERIES_GAP_MS),
        kind: profile.kinds[draw(profile.kinds.length)]!,
        index: random.next() < 0.5 ? index : draw(MAX_INDEX),
        durationMs: draw(MAX_DURATION_MS),
        choice: random.next(),
        count: 1 + draw(Math.max(1, profile.maxBurst)),
      });
    }
    atMs += draw(2 * profile.faultGapMs);
  }
  return plans.sort((a, b) => a.atMs - b.atMs);
}
