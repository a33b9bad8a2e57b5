import { expect, it } from 'vitest';
import { TargetStats } from '../../src/index.js';

const SEND_INTERVAL_MS = 10;

/** As long as reports need to show a request. */
const REPORT_DELAY_MS = 60;

// Guards against a heap that each request to a plain service fills further, until the entry ends.
it('remembers no more requests than a report may lack, at a target that never reports', () => {
  const stats = new TargetStats();
  for (let sent = 0; sent < 10_000; sent += 1) {
    stats.recordSent(sent * SEND_INTERVAL_MS);
    stats.recordEnd();
  }
  expect(stats.countUnreported()).toBeLessThanOrEqual(REPORT_DELAY_MS / SEND_INTERVAL_MS);
});

it('counts the requests that a report may lack when reports begin', () => {
  const stats = new TargetStats();
  for (const sentMs of [0, 1000, 1050, 1090]) stats.recordSent(sentMs);
  stats.handleLoad({ address: '10.0.0.1:1', active: 2, queued: 0 }, 1100);
  expect(stats.countUnreported()).toBe(2);
  expect(stats.estimateOccupancy(1100, 4)).toBe(4);
});
