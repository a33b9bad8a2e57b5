import { beforeEach, expect, it } from 'vitest';
import { BodyBudget, ManualClock } from '../../src/index.js';

const MAX_BYTES = 100_000;

const STALLED_MS = 1000;

let clock: ManualClock;
let budget: BodyBudget;
let evicted: string[];

function createBody(name: string, isPinned = false) {
  return { isPinned: () => isPinned, evict: () => void evicted.push(name) };
}

beforeEach(() => {
  clock = new ManualClock();
  budget = new BodyBudget(MAX_BYTES, clock);
  evicted = [];
});

// Guards against a caller that reads and loses its answer to those that read nothing.
it('drops bodies without progress before larger ones with progress', () => {
  const moving = createBody('moving');
  budget.update(createBody('stalled'), 20_000);
  budget.update(moving, 60_000);
  clock.advance(STALLED_MS);
  budget.update(moving, 59_000);
  budget.update(createBody('new'), 30_000);
  expect(evicted).toEqual(['stalled']);
  expect(budget.countBytes()).toBe(89_000);
  expect(budget.countEvictions()).toBe(1);
});

// Guards against one large body that displaces all small requests that wait.
it('drops a large body before small ones without progress', () => {
  for (let index = 0; index < 50; index += 1) budget.update(createBody(`small ${index}`), 1000);
  clock.advance(STALLED_MS);
  budget.update(createBody('large'), 60_000);
  expect(evicted).toEqual(['large']);
});

// Guards against an answer of 429 to a request that may have run.
it('counts bodies in use, and drops others in their place', () => {
  budget.update(createBody('running', true), 60_000);
  budget.update(createBody('waiting'), 30_000);
  budget.update(createBody('new'), 20_000);
  expect(evicted).toEqual(['waiting']);
  budget.update(createBody('running too', true), 70_000);
  expect(evicted).toEqual(['waiting', 'new']);
});

// Guards against large requests that run and leave no space for small ones.
it('keeps a share for bodies that are not pinned', () => {
  budget.update(createBody('running', true), 60_000);
  expect(budget.canPin(20_000)).toBe(false);
  expect(budget.canPin(10_000)).toBe(true);
});

it('drops what exceeds a lower limit at once', () => {
  budget.update(createBody('small'), 10_000);
  budget.update(createBody('large'), 20_000);
  budget.setMaxBytes(15_000);
  expect(evicted).toEqual(['large']);
});

it('forgets a body that holds nothing any more', () => {
  const body = createBody('body');
  budget.update(body, 60_000);
  budget.update(body, 0);
  budget.update(createBody('new'), 90_000);
  expect(evicted).toEqual([]);
});

// Guards against a search through all bodies for each chunk that arrives.
it('drops a body that is pinned no longer 50 ms later at the latest', () => {
  let isPinned = true;
  let checks = 0;
  const running = createBody('running');
  running.isPinned = () => {
    checks += 1;
    return isPinned;
  };
  budget.update(running, MAX_BYTES);
  const other = createBody('other', true);
  budget.update(other, 1000);
  const checksOnce = checks;
  budget.update(other, 2000);
  expect(checks).toBe(checksOnce);
  isPinned = false;
  clock.advance(50);
  budget.update(other, 3000);
  expect(evicted).toEqual(['running']);
});

it('drops a new body at once where all others are pinned', () => {
  budget.update(createBody('running', true), MAX_BYTES);
  budget.update(createBody('running too', true), 1000);
  budget.update(createBody('new'), 1000);
  expect(evicted).toEqual(['new']);
});
