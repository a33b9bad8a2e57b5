import { beforeEach, expect, it } from 'vitest';
import { TargetHolds, buildRunName, type DirectTarget } from '../../src/index.js';

const DRAIN_MS = 2000;
const HOUR_MS = 3_600_000;

const target: DirectTarget = {
  id: 'i-1',
  service: 's',
  address: '10.0.0.1:1',
  zone: 'a',
  capacity: 4,
  isDraining: false,
  coldLeftMs: 0,
  bornMs: 1,
};
const other = { ...target, id: 'i-2' };
const reborn = { ...target, bornMs: 2 };

let nowMs: number;
let holds: TargetHolds;

beforeEach(() => {
  nowMs = 1000;
  const clock = { getNow: () => nowMs, getWallTime: () => new Date(0) };
  holds = new TargetHolds({ clock, getDrainMs: () => DRAIN_MS });
});

function leave(): void {
  holds.handleAnswer(target, { status: 200, isLeaving: true, retryAfterMs: null });
}

function backOff(status: number, retryAfterMs: number | null): void {
  holds.handleAnswer(target, { status, isLeaving: false, retryAfterMs });
}

// Guards against a leaving target that is used longer because it says so again.
it('counts drain_ms from the first answer of a leaving target', () => {
  leave();
  expect(holds.getState(target)).toBe('last_resort');
  nowMs += DRAIN_MS - 1;
  leave();
  expect(holds.getState(target)).toBe('last_resort');
  nowMs += 1;
  expect(holds.getState(target)).toBe('closed');
  expect(holds.getState(reborn)).toBe('open');
  expect(holds.getState(other)).toBe('open');
});

// Guards against requests to a target whose registration returns with a copy of the store.
it('keeps a target closed while it may be registered again', () => {
  leave();
  nowMs += 300_000;
  holds.expire(new Set());
  expect(holds.getState(target)).toBe('closed');
  nowMs += HOUR_MS;
  holds.expire(new Set([buildRunName(target)]));
  expect(holds.getState(target)).toBe('closed');
  holds.expire(new Set());
  expect(holds.count()).toBe(0);
});

// Guards against a time that a later, shorter one cuts, and against endless ones.
it('backs off for the longest time that a target named, at most an hour', () => {
  backOff(503, 3000);
  nowMs += 100;
  backOff(503, 100);
  expect(holds.getBackoffMs([target])).toBe(2900);
  expect(holds.getBackoffMs([target, other])).toBe(null);
  nowMs += 2900;
  expect(holds.getState(target)).toBe('open');
  backOff(503, Infinity);
  expect(holds.getBackoffMs([target])).toBe(HOUR_MS);
});

// Guards against a Retry-After that is not about requests to the target.
it('backs off only after 503', () => {
  for (const status of [200, 421, 429, 500]) backOff(status, 3000);
  backOff(503, null);
  backOff(503, 0);
  expect(holds.getState(target)).toBe('open');
});
