import { beforeEach, describe, expect, it } from 'vitest';
import { SimulatedFleet } from '../src/benches/config/SimulatedFleet.js';
import { measureChanges } from '../src/benches/config/measureChanges.js';

const SEED = 77;
const GRACE_MS = 3000;

describe('what the isolation rule is computed from', () => {
  let fleet: SimulatedFleet;

  beforeEach(() => {
    fleet = new SimulatedFleet({ seed: SEED, entries: 40, agents: 200, zones: 4 });
    // A fleet that never reached the store would pass the counts below for the wrong reason.
    expect(countStates('fresh')).toBe(240);
  });

  function countStates(state: string): number {
    const processes = fleet.listRunning();
    return processes.filter(({ node }) => node.follower.getFreshness().state === state).length;
  }

  /** Counts by zone whose last sign of the store and of other zones is older than the grace. */
  function countIsolated(): { inside: number; outside: number } {
    const now = fleet.timeline.clock.getNow();
    const count = { inside: 0, outside: 0 };
    for (const { node, record } of fleet.listRunning()) {
      const freshness = node.follower.getFreshness();
      const stored = freshness.lastStoreConfirmationAt ?? -Infinity;
      const heard = freshness.lastOutsideContactAt ?? -Infinity;
      if (now - Math.max(stored, heard) < GRACE_MS) continue;
      if (record.zone === 'z0') count.inside += 1;
      else count.outside += 1;
    }
    return count;
  }

  // Guards against a zone that serves on although it cannot know that it was taken out, because
  // its processes confirm each other, and against refusals elsewhere.
  it('isolates exactly the processes of a zone that is cut off', () => {
    fleet.setPartition('z0');
    fleet.timeline.advance(2400);
    expect(countIsolated()).toEqual({ inside: 0, outside: 0 });
    fleet.timeline.advance(1000);
    expect(countIsolated()).toEqual({ inside: 60, outside: 0 });
    const at = fleet.timeline.clock.getNow();
    const revision = fleet.write();
    fleet.timeline.advance(30_000);
    expect(countIsolated()).toEqual({ inside: 60, outside: 0 });
    fleet.setPartition(null);
    fleet.timeline.advance(GRACE_MS);
    expect(countIsolated()).toEqual({ inside: 0, outside: 0 });
    expect(countStates('fresh')).toBe(240);
    expect(measureChanges(fleet.listRunning(), [{ revision, at }], 34_000).share).toBe(1);
  });

  // Guards against a store outage that stops service as if it were a partition.
  it('isolates nobody in a store outage, even when relays are replaced', () => {
    fleet.store.setOutage(true);
    fleet.timeline.advance(10_000);
    for (const relay of fleet.listRelays().filter((_, index) => index % 2 === 0)) relay.stop(true);
    for (let step = 0; step < 10; step += 1) {
      fleet.timeline.advance(1000);
      expect(countIsolated()).toEqual({ inside: 0, outside: 0 });
      expect(countStates('fresh')).toBe(0);
    }
  });
});
