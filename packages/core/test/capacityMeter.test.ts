import { expect, it } from 'vitest';
import { CapacityMeter, ManualClock, SeededRandom, WorkspaceLimiter } from '@limpetbay/core';

// Guards against a workspace that floods an entry: without a measured capacity the limiter never
// refuses anybody.
it('makes the limiter thin out a workspace that floods while targets refuse', () => {
  const clock = new ManualClock();
  const meter = new CapacityMeter(clock);
  const limiter = new WorkspaceLimiter({ clock, random: new SeededRandom(1) });
  let small = 0;
  let large = 0;
  for (let tick = 0; tick < 1000; tick += 1) {
    clock.advance(10);
    // 100 a second are completed; the large workspace offers 400 a second, the small one 10.
    meter.recordCompleted(1);
    meter.recordRefused();
    limiter.setCapacity(meter.getCapacity());
    for (let index = 0; index < 4; index += 1) if (limiter.admit('large', 1).ok) large += 1;
    if (tick % 10 === 0 && limiter.admit('small', 1).ok) small += 1;
  }
  expect(small).toBe(100);
  expect(large).toBeLessThan(2000);
});

// Guards against refusals on a fleet that has room.
it('knows no capacity while nothing is refused', () => {
  const clock = new ManualClock();
  const meter = new CapacityMeter(clock);
  meter.recordCompleted(10);
  expect(meter.getCapacity()).toBeNull();
  meter.recordRefused();
  expect(meter.getCapacity()).toBeGreaterThan(0);
  clock.advance(2001);
  expect(meter.getCapacity()).toBeNull();
});
