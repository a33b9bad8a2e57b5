import { expect, it } from 'vitest';
import { CapacityEstimator, ManualClock, SeededRandom, WorkspaceLimiter } from '@limpetbay/core';

// Guards against a workspace that floods an entry: the limiter never refuses requests without an
// estimated capacity.
it('lets the limiter limit a flooding workspace while targets refuse requests', () => {
  const clock = new ManualClock();
  const meter = new CapacityEstimator(clock);
  const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(1) });
  let small = 0;
  let large = 0;
  for (let tick = 0; tick < 1000; tick += 1) {
    clock.advance(10);
    // The targets complete 100 requests/s; the large workspace offers 400/s, the small one 10/s.
    meter.recordCompletion(1);
    meter.recordRefusal();
    limiter.setCapacity(meter.getCapacity());
    for (let index = 0; index < 4; index += 1) if (limiter.admit('large', 1).ok) large += 1;
    if (tick % 10 === 0 && limiter.admit('small', 1).ok) small += 1;
  }
  expect(small).toBe(100);
  expect(large).toBeLessThan(2000);
});

// Guards against refusals while the targets have spare capacity.
it('returns no capacity while no request is refused', () => {
  const clock = new ManualClock();
  const meter = new CapacityEstimator(clock);
  meter.recordCompletion(10);
  expect(meter.getCapacity()).toBeNull();
  meter.recordRefusal();
  expect(meter.getCapacity()).toBeGreaterThan(0);
  clock.advance(2001);
  expect(meter.getCapacity()).toBeNull();
});
