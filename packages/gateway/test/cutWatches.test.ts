import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { buildSimAddress } from './support/buildSimAddress.js';
import { SimFleet } from './support/SimFleet.js';

const ENTRIES = 3;

const TARGETS = 6;

const START_MS = 5000;

const REQUEST_INTERVAL_MS = 15;

/** Nothing may reach a target later than this after the store removed its registration. */
const DRAIN_MS = 2000;

const OUTAGE_MS = 3000;

/** Targets that run write their registrations again within 2 s after an outage. */
const REWRITE_MS = 1400;

const LEFT = 2;

const STEP_MS = 10;

const SIMULATION_TIMEOUT_MS = 60_000;

// Case 12 of the third review: one cut watch was taken for an outage of the store.
describe('a registration that is removed beside cut watches', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  /** Advances in steps, because an answer of the store arrives between two timers. */
  async function advance(ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) await timers.advance(STEP_MS);
  }

  async function commit(write: Promise<void>): Promise<void> {
    await advance(2 * STEP_MS);
    await write;
  }

  function cutWatches(entries = fleet.entries): void {
    for (const { link } of entries) link.cutWatches();
  }

  /** Returns when the last request reached the target that left, from a moment on, milliseconds. */
  function findLastArrival(sinceMs: number): number {
    const arrivals = fleet.arrivals.filter(({ target }) => target === `target-${LEFT}.0`);
    return Math.max(-Infinity, ...arrivals.map(({ atMs }) => atMs)) - sinceMs;
  }

  beforeEach(async () => {
    timers.begin();
    fleet = new SimFleet(timers, { entries: ENTRIES, targets: TARGETS, seed: 66 });
    await fleet.start();
    await advance(START_MS);
    fleet.repeat(REQUEST_INTERVAL_MS, () => void fleet.send([], 'single'));
    await advance(500);
  });

  afterEach(async () => {
    fleet.stop();
    await timers.advance(20_000);
    timers.end();
  });

  // Guards against a target in use after drain_ms because a watch was cut just before it left.
  it.each([10, 400, 700, 1050, 1800])(
    'ends the use of the target (one cut %i ms before)',
    async (beforeMs) => {
      cutWatches();
      await advance(beforeMs);
      const removedMs = timers.getNow();
      await commit(fleet.unregisterTarget(LEFT));
      await advance(3 * DRAIN_MS);
      expect(findLastArrival(removedMs)).toBeLessThanOrEqual(DRAIN_MS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a target in use for as long as watches are cut again and again.
  it.each([
    [250, 24],
    [700, 9],
    [1500, 6],
  ])(
    'ends the use of the target (a cut each %i ms, %i times)',
    async (intervalMs, cuts) => {
      let removedMs = 0;
      for (let cut = 0; cut < cuts; cut += 1) {
        cutWatches();
        await advance(intervalMs);
        if (cut > 0) continue;
        removedMs = timers.getNow();
        await commit(fleet.unregisterTarget(LEFT));
      }
      await advance(3 * DRAIN_MS);
      expect(findLastArrival(removedMs)).toBeLessThanOrEqual(DRAIN_MS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against an entry that keeps a departed target because only its own watch was cut.
  it(
    'ends the use of the target at an entry whose watch alone was cut',
    async () => {
      cutWatches(fleet.entries.slice(0, 1));
      await advance(700);
      const removedMs = timers.getNow();
      await commit(fleet.unregisterTarget(LEFT));
      await advance(3 * DRAIN_MS);
      expect(findLastArrival(removedMs)).toBeLessThanOrEqual(DRAIN_MS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against the same with a full read in place of a change.
  it(
    'ends the use of the target if the history is dropped as well',
    async () => {
      cutWatches();
      const removedMs = timers.getNow();
      await commit(fleet.unregisterTarget(LEFT));
      fleet.store.dropHistory();
      await advance(3 * DRAIN_MS);
      expect(findLastArrival(removedMs)).toBeLessThanOrEqual(DRAIN_MS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a further outage that extends the use of a target that was seen to be gone.
  it.each([0, 1000])(
    'ends the use of the target in a further outage (%i ms after the removal)',
    async (gapMs) => {
      for (const { link } of fleet.entries) link.setCut(true);
      await advance(OUTAGE_MS);
      for (const { link } of fleet.entries) link.setCut(false);
      await advance(1500);
      const removedMs = timers.getNow();
      await commit(fleet.unregisterTarget(LEFT));
      await advance(gapMs);
      for (const { link } of fleet.entries) link.setCut(true);
      await advance(5 * DRAIN_MS);
      expect(findLastArrival(removedMs)).toBeLessThanOrEqual(DRAIN_MS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against refused requests because registrations lapsed that nobody could renew.
  it(
    'keeps targets in use whose registrations lapsed in an outage',
    async () => {
      const startMs = timers.getNow();
      for (const { link } of fleet.entries) link.setCut(true);
      await advance(OUTAGE_MS);
      const removals: Promise<void>[] = [];
      for (let target = 0; target < TARGETS; target += 1) {
        removals.push(fleet.unregisterTarget(target));
      }
      await advance(2 * STEP_MS);
      await Promise.all(removals);
      for (const { link } of fleet.entries) link.setCut(false);
      await advance(REWRITE_MS);
      for (let target = 0; target < TARGETS; target += 1) {
        await commit(fleet.registerTarget(target));
      }
      await advance(3 * DRAIN_MS);
      const failed = fleet.requests.filter(
        ({ sentMs, outcome }) => sentMs >= startMs && outcome.status !== 200,
      );
      expect(failed).toEqual([]);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against callers that are sent to an entry that has withdrawn its registration.
  it(
    'ends the listing of an entry that stops',
    async () => {
      for (let cut = 0; cut < 3; cut += 1) {
        cutWatches();
        await advance(700);
      }
      fleet.entries[LEFT]?.beginStop();
      await advance(700);
      for (const entry of fleet.entries.slice(0, LEFT)) {
        expect(entry.listAddresses()).not.toContain(buildSimAddress(`entry-${LEFT}`, 80));
      }
    },
    SIMULATION_TIMEOUT_MS,
  );
});
