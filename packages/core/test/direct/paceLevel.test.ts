import { expect, it } from 'vitest';
import { PaceLevel, ResponseTimes } from '../../src/index.js';

const ROUTE = { name: 'r', objectiveMs: 400 };

// Guards against a burst of answers that raises a level before any request was sent at it.
it('a level doubles once for all requests that were sent at it', () => {
  const level = new PaceLevel(1 / 4, 100);
  level.recordInTime(50, 110);
  expect(level.get()).toBe(1 / 4);
  level.recordInTime(105, 150);
  level.recordInTime(106, 150);
  level.recordInTime(149, 160);
  expect(level.get()).toBe(1 / 2);
  level.recordInTime(150, 190);
  expect(level.isFull()).toBe(true);
});

// Guards against one fault that takes a level to its minimum at once, and against doubling again to
// the level that was too high.
it('a level is halved once for all requests that were sent at it, and then grows by steps', () => {
  const level = new PaceLevel(1, 0, true);
  expect(level.recordStrain(5, 10)).toBe(true);
  expect(level.recordStrain(6, 11)).toBe(false);
  expect(level.get()).toBe(1 / 2);
  level.recordInTime(20, 30);
  expect(level.get()).toBe(5 / 8);
  for (let nowMs = 100; nowMs < 1000; nowMs += 100) level.recordStrain(nowMs, nowMs + 1);
  expect(level.get()).toBe(1 / 32);
});

// Guards against a cold target that reaches its full share while it is cold.
it('a level does not exceed a bound', () => {
  const level = new PaceLevel(1 / 4, 0);
  level.recordInTime(1, 2, 1 / 4);
  level.expire(20_000, 1 / 4);
  expect(level.get()).toBe(1 / 4);
});

// Guards against a healthy target that counts as slow because the load makes all answers late.
it('answers are slow if they are late and later than those of others', () => {
  const times = new ResponseTimes();
  expect(times.evaluate('s', ROUTE, 300)).toBe('in_time');
  expect(times.evaluate('s', ROUTE, 500)).toBe('slow');
  for (let count = 0; count < 8; count += 1) times.record('s', ROUTE, 100);
  expect(times.evaluate('s', ROUTE, 199)).toBe('in_time');
  expect(times.evaluate('s', ROUTE, 300)).toBe('uncertain');
  expect(times.evaluate('s', ROUTE, 500)).toBe('slow');
  for (let count = 0; count < 8; count += 1) times.record('s', ROUTE, 450);
  expect(times.evaluate('s', ROUTE, 500)).toBe('in_time');
  expect(times.evaluate('other', ROUTE, 500)).toBe('slow');
});

// Guards against routes that were added later and whose usual times are never learned.
it('the usual times of a route are known however many other routes there were before', () => {
  const times = new ResponseTimes();
  for (let route = 0; route < 100; route += 1) times.record('s', { name: `r${route}` }, 100);
  for (let count = 0; count < 8; count += 1) times.record('s', ROUTE, 450);
  expect(times.evaluate('s', ROUTE, 500)).toBe('in_time');
});
