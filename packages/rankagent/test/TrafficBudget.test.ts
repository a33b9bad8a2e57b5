import { describe, expect, it } from 'vitest';
import { encodeLoads, encodePeerMessage, encodeUnits } from '@limpetbay/rpc';
import { SimGroup } from '@limpetbay/standins';
import { TrafficBudget } from '../src/index.js';

const LINK_BITS_PER_SECOND = 5_600_000;

const INTERVAL_MS = 100;

const FRAGMENT_HEADER_BYTES = 28;

const FRAGMENT_BYTES = 1480;

function toBitsPerSecond(bytes: number, intervalMs: number): number {
  const fragments = Math.ceil(bytes / FRAGMENT_BYTES);
  return ((bytes + fragments * FRAGMENT_HEADER_BYTES) * 8 * 1000) / intervalMs;
}

// Guards against flows that grow with the size of a deployment until orders wait behind them.
describe.each([
  { ranks: 8, counts: 6 * 64, entries: 8 },
  { ranks: 32, counts: 12 * 128, entries: 37 },
  { ranks: 32, counts: 12 * 128, entries: 410 },
  { ranks: 128, counts: 12 * 128, entries: 37 },
  { ranks: 256, counts: 58 * 128, entries: 410 },
])('the planner of $ranks ranks, $counts counts and $entries entries', (shape) => {
  const budget = new TrafficBudget(LINK_BITS_PER_SECOND);
  const { ranks, counts, entries } = shape;

  it('receives counts on less than a third of its link', () => {
    const message = { kind: 'counts', group: 'g0-0', epoch: 1, rank: ranks, scale: 1.2345678 };
    const units = encodeUnits(new Float64Array(counts).fill(200));
    const bytes = JSON.stringify({ ...message, ...units }).length;
    const period = budget.getCountsPeriod(ranks, counts, INTERVAL_MS);
    const flow = ((ranks - 1) * toBitsPerSecond(bytes, INTERVAL_MS)) / period;
    // A single message in each interval is the least that keeps the estimate fresh.
    const single = toBitsPerSecond(bytes, INTERVAL_MS);
    expect(flow).toBeLessThan(Math.max(LINK_BITS_PER_SECOND / 3, 1.01 * single));
  });

  it('receives statuses on less than a fifth of its link', () => {
    const intervalMs = Math.max(INTERVAL_MS, budget.getStatusIntervalMs(ranks));
    const status = {
      ...new SimGroup(ranks, 0).readStatus(ranks - 1),
      ...{ address: '10.255.255.255:65000', group: 'g0-0', active: 255, queued: 255 },
      ...{ kvUsed: 1e7, kvTotal: 1e7, step: 1e6, map: 1e6, prepared: 1e6, held: 1e6, passMs: 1e3 },
      armed: { version: 1e6, step: 1e6 },
    };
    const flags = { isPlanning: false, isIncomplete: false, wantsMembers: false };
    const bytes = encodePeerMessage({ kind: 'status', status, ...flags }).length;
    const flow = (ranks - 1) * toBitsPerSecond(bytes, intervalMs);
    expect(flow).toBeLessThan(LINK_BITS_PER_SECOND / 5);
  });

  it('sends load reports on less than half of its link', () => {
    const loads = Array.from({ length: ranks }, (_, rank) => ({
      address: `10.0.${rank}.200:65000`,
      active: 7,
      queued: 2,
    }));
    const report = { group: 'g0-0', epoch: 1, isOpen: true, passMs: 100, isMapped: true };
    const reporters = ['10.0.0.200:65000', '10.0.1.200:65000', '10.0.2.200:65000'];
    const message = { kind: 'load', report, ranks: encodeLoads(loads), reporters };
    const bytes = JSON.stringify(message).length;
    const intervalMs = Math.max(INTERVAL_MS, budget.getReportIntervalMs(ranks, entries));
    expect(entries * toBitsPerSecond(bytes, intervalMs)).toBeLessThan(LINK_BITS_PER_SECOND / 2);
  });
});
