import { expect, it } from 'vitest';
import { ManualClock } from '@limpetbay/core';
import { RetryBudgets } from '../src/request/RetryBudgets.js';

const SHARE = { ratio: 0.1, burst: 4 };

// Guards against memory that grows with each service that there ever was.
it('forgets services that were removed, and keeps the others', () => {
  const clock = new ManualClock();
  const budgets = new RetryBudgets(clock, () => SHARE);
  for (let version = 0; version < 100; version += 1) {
    budgets.get('kept').take();
    budgets.get(`service of version ${version}`);
    clock.advance(1000);
    budgets.expire((service) => service === 'kept');
  }
  expect(budgets.count()).toBeLessThanOrEqual(1 + 60);
  expect(budgets.get('kept').getTokens()).toBe(0);
});

// Guards against a service that gets its burst again each time it is removed and added.
it('keeps the budget of a service that returns soon', () => {
  const clock = new ManualClock();
  const budgets = new RetryBudgets(clock, () => SHARE);
  while (budgets.get('s').take());
  clock.advance(10_000);
  budgets.expire(() => false);
  expect(budgets.get('s').take()).toBe(false);
});
