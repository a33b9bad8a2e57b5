import { describe, expect, it } from 'vitest';
import { ManualClock, RateGrants } from '../src/index.js';

describe('RateGrants', () => {
  it.each([0.5, 1.4, 20])('grants %d requests a second and a small burst', (perSecond) => {
    const clock = new ManualClock();
    const grants = new RateGrants(clock);
    let granted = 0;
    for (let step = 0; step < 4000; step += 1) {
      if (grants.take('t', perSecond).isGranted) granted += 1;
      clock.advance(1);
    }
    expect(granted).toBeGreaterThanOrEqual(Math.floor(4 * perSecond));
    expect(granted).toBeLessThanOrEqual(4 * perSecond + Math.max(2, 0.5 * perSecond));
  });

  it('tells when the next request may be granted', () => {
    const clock = new ManualClock();
    const grants = new RateGrants(clock);
    while (grants.take('t', 2).isGranted);
    const { retryAfterMs } = grants.take('t', 2);
    clock.advance(retryAfterMs);
    expect(grants.take('t', 2).isGranted).toBe(true);
  });

  // Guards against a limit of 0 that nobody would ever see lifted.
  it('grants a request now and then out of a rate of 0', () => {
    const clock = new ManualClock();
    const grants = new RateGrants(clock);
    while (grants.take('t', 0).isGranted);
    clock.advance(4000);
    expect(grants.take('t', 0).isGranted).toBe(true);
    expect(grants.take('t', 0).isGranted).toBe(false);
  });

  it('forgets rates that are not used', () => {
    const clock = new ManualClock();
    const grants = new RateGrants(clock);
    for (let index = 0; index < 1000; index += 1) grants.take(`t${index}`, 1);
    clock.advance(10_001);
    grants.expire();
    expect(grants.count()).toBe(0);
  });
});
