import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimDeployment } from './support/SimDeployment.js';
import { SimTimers } from './support/SimTimers.js';

/** A full group of a large deployment: its agents have 5.6 Mbit/s, its planner serves 37 entries. */
const SHAPE = {
  ranks: 32,
  sets: 12,
  experts: 128,
  slotsPerRank: 5,
  entries: 37,
  agentBitsPerSecond: 5_600_000,
  entryBitsPerSecond: 28_000_000,
};

const SEED = 18;

const SHIFT_INTERVAL_MS = 3700;

const SHIFTS = 3;

describe('a group of 32 ranks whose demand shifts every 3.7 s', () => {
  const timers = new SimTimers();
  let deployment: SimDeployment;
  const shiftTimesMs: number[] = [];

  beforeEach(async () => {
    timers.install();
    shiftTimesMs.length = 0;
    deployment = new SimDeployment(timers, SHAPE, SEED);
    await deployment.start();
    for (let shift = 0; shift < SHIFTS; shift += 1) {
      await timers.advance(SHIFT_INTERVAL_MS);
      deployment.group.shiftDemand();
      shiftTimesMs.push(timers.getNow());
    }
    await timers.advance(SHIFT_INTERVAL_MS);
  }, 120_000);

  afterEach(() => {
    deployment.stop();
    timers.uninstall();
  });

  // Guards against orders that are lost on a full link while the group is held.
  it('has a new map a third of the interval after each shift, with passes held under 5%', () => {
    const periodMs = SHIFT_INTERVAL_MS * (SHIFTS + 1);
    const { group, agentHosts } = deployment;
    const delaysMs = shiftTimesMs.map(
      (shiftMs) => (group.mapTimesMs.find((timeMs) => timeMs > shiftMs) ?? Infinity) - shiftMs,
    );
    console.log({
      delaysMs,
      maps: group.mapTimesMs.length,
      held: group.heldMs,
      skew: group.skewSum / group.passes,
      passes: group.passes,
      up: agentHosts[0]?.uplink.getUse(periodMs),
      down: agentHosts[0]?.downlink.getUse(periodMs),
      traffic: agentHosts[0]?.traffic,
      reports: deployment.reports.length,
      counters: deployment.metrics.listCounters().filter(([n]) => n.includes('orders')),
    });
    expect(Math.max(...delaysMs)).toBeLessThan(SHIFT_INTERVAL_MS / 3);
    expect(group.heldMs).toBeLessThan(0.05 * periodMs);
    expect(group.group.mixedPasses).toBe(0);
  });
});
