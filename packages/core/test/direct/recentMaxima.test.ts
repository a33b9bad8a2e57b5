import { expect, it } from 'vitest';
import { RecentMaxima } from '../../src/index.js';

// Guards against a stopping entry that starts streams which last longer than it does.
it('keeps the largest figure of a key for 30 to 60 s', () => {
  let nowMs = 0;
  const durations = new RecentMaxima({
    getNow: () => nowMs,
    getWallTime: () => new Date(nowMs),
  });
  expect(durations.getLargest('chat')).toBe(0);
  durations.record('chat', 6000);
  durations.record('chat', 2000);
  durations.record('notes', 100);
  expect(durations.getLargest('chat')).toBe(6000);
  nowMs = 35_000;
  durations.record('chat', 3000);
  expect(durations.getLargest('chat')).toBe(6000);
  nowMs = 66_000;
  expect(durations.getLargest('chat')).toBe(3000);
  nowMs = 200_000;
  expect(durations.getLargest('chat')).toBe(0);
});

// Guards against memory that grows with each route that there ever was.
it('forgets keys that are not used any more', () => {
  let nowMs = 0;
  const durations = new RecentMaxima({
    getNow: () => nowMs,
    getWallTime: () => new Date(nowMs),
  });
  for (let route = 0; route < 100; route += 1) durations.record(`route ${route}`, 1);
  nowMs = 70_000;
  durations.record('chat', 1);
  expect(durations.countKeys()).toBe(1);
});
