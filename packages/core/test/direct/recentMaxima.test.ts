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
