import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { SimFleet } from './support/SimFleet.js';
import { computeBegunShare } from './support/computeBegunShare.js';
import { countLaterArrivals } from './support/countLaterArrivals.js';

/** Time within which all entries must act on what one of them learned, milliseconds. */
const STABLE_WINDOW_MS = 3000;

/** Targets that one part may end before every entry must keep it away from them. */
const MAX_ENDS = 5;

/** Requests with the part that may still reach targets after that. */
const MAX_LATER_ARRIVALS = 3;

/** Least part of the usual share of sound requests that their first attempt serves. */
const MIN_SOUND_SHARE = 0.5;

const SOUND_INTERVAL_MS = 15;

const CRASHING_INTERVAL_MS = 500;

const FIRST_PARTS = 60;

const CRASHING_PART = 'dead';

/** Traffic before the first request with the crashing part, milliseconds. */
const CALM_MS = 6000;

/** How long requests with the crashing part arrive, milliseconds. */
const SERIES_MS = 24_000;

/** Time after which nothing is suspected any more, milliseconds. */
const FORGET_MS = 140_000;

/** Store calls that may remove the same record. */
const MAX_REMOVALS = 5;

const SIMULATION_TIMEOUT_MS = 120_000;

// Incident on canerota: callers repeat requests that differ but share one prompt part, on which
// every target ends when it begins its answer. Sound requests share their first part with these.
describe('requests with a prompt part that ends targets', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  function createFleet(entries: number, targets = 16, seed = 21): Promise<void> {
    fleet = new SimFleet(timers, { entries, targets, seed });
    return fleet.start();
  }

  function chooseFirstPart(): string {
    return `f${Math.floor(FIRST_PARTS * fleet.random.next() ** 2)}`;
  }

  /** Sends requests until the traffic is turned off. */
  function repeat(intervalMs: number, listParts: () => string[]): void {
    fleet.repeat(intervalMs, () => void fleet.send(listParts()));
  }

  /** Starts sound traffic and, after a calm time, a series of requests with the crashing part. */
  async function startSeries(
    listCrashingParts = (): string[] => [chooseFirstPart(), CRASHING_PART],
  ): Promise<void> {
    fleet.crashingParts.add(CRASHING_PART);
    await timers.advance(2000);
    repeat(SOUND_INTERVAL_MS, () => [chooseFirstPart()]);
    await timers.advance(CALM_MS);
    repeat(CRASHING_INTERVAL_MS, listCrashingParts);
  }

  /** Returns when the crashing part ended its last target that counts, milliseconds. */
  function getFifthEndMs(): number {
    const ends = fleet.ends.filter(({ cause }) => cause === CRASHING_PART);
    return ends[Math.min(MAX_ENDS, ends.length) - 1]?.atMs ?? Infinity;
  }

  /** Counts requests with the crashing part that were sent to targets when all entries must know. */
  function countLater(): number {
    return countLaterArrivals(fleet, getFifthEndMs(), ({ parts }) => parts.includes(CRASHING_PART));
  }

  /** Returns the share of sound requests in a period whose first attempt began an answer. */
  function computeSoundShare(fromMs: number, toMs: number): number {
    return computeBegunShare(
      fleet,
      ({ parts, sentMs }) => !parts.includes(CRASHING_PART) && sentMs >= fromMs && sentMs < toMs,
    );
  }

  function expectContained(seriesMs: number): void {
    expect(countLater()).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
    const usual = computeSoundShare(seriesMs - CALM_MS, seriesMs);
    const later = computeSoundShare(
      getFifthEndMs() + 2 * STABLE_WINDOW_MS,
      timers.getNow() - STABLE_WINDOW_MS,
    );
    expect(usual).toBeGreaterThan(0.9);
    expect(later).toBeGreaterThan(MIN_SOUND_SHARE * usual);
  }

  beforeEach(() => timers.begin());

  afterEach(async () => {
    fleet.stop();
    await timers.advance(20_000);
    timers.end();
  });

  // Guards against ends that go on because each entry learns of the part from its own losses.
  it.each([1, 2, 3])(
    'end fewer than six targets of eight entries (seed %d)',
    async (seed) => {
      await createFleet(8, 16, seed);
      await startSeries();
      const seriesMs = timers.getNow();
      await timers.advance(SERIES_MS);
      expectContained(seriesMs);
      expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against requests that are sent to a second target after they ended the first.
  it(
    'are not repeated at another target after they ended one',
    async () => {
      await createFleet(8);
      await startSeries();
      await timers.advance(CRASHING_INTERVAL_MS);
      const [id] = fleet.arrivals
        .filter(({ parts }) => parts.includes(CRASHING_PART))
        .map(({ requestId }) => requestId);
      expect(id).toBeDefined();
      await timers.advance(STABLE_WINDOW_MS);
      expect(fleet.arrivals.filter(({ requestId }) => requestId === id)).toHaveLength(1);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a promise that a request did not run, made while its target is checked.
  it(
    'are not answered as not run when their time is over during the check of the target',
    async () => {
      await createFleet(8);
      fleet.crashingParts.add(CRASHING_PART);
      fleet.checkDelayMs = 300;
      await timers.advance(2000);
      void fleet.send([CRASHING_PART], 'stream', 200);
      await timers.advance(1000);
      expect(fleet.ends).toHaveLength(1);
      expect(fleet.requests.map(({ outcome }) => outcome.status)).toEqual([504]);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against sound requests that are blocked with the part, because they share another one.
  it(
    'do not take sound requests along that share all their other parts',
    async () => {
      await createFleet(8);
      fleet.crashingParts.add(CRASHING_PART);
      await timers.advance(2000);
      repeat(SOUND_INTERVAL_MS, () => ['shared', 'also']);
      await timers.advance(CALM_MS);
      repeat(CRASHING_INTERVAL_MS, () => ['shared', CRASHING_PART, 'also']);
      const seriesMs = timers.getNow();
      await timers.advance(SERIES_MS);
      expectContained(seriesMs);
      expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against entries that forget the part when they restart, one by one or all at once.
  it.each([3, 8])(
    'stay blocked when %d of eight entries are killed and start again',
    async (killed) => {
      await createFleet(8);
      await startSeries();
      const seriesMs = timers.getNow();
      await timers.advance(SERIES_MS / 3);
      for (const entry of fleet.entries.slice(0, killed)) entry.kill();
      await timers.advance(500);
      for (let index = 0; index < killed; index += 1) fleet.startEntry(index);
      await timers.advance((2 * SERIES_MS) / 3);
      expectContained(seriesMs);
      expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against an entry that was cut off while the others learned of the part.
  it(
    'are blocked within the stable window at an entry that was cut off meanwhile',
    async () => {
      await createFleet(8);
      await startSeries();
      fleet.setCut(0, true);
      await timers.advance(SERIES_MS / 3);
      fleet.setCut(0, false);
      const backMs = timers.getNow();
      await timers.advance((2 * SERIES_MS) / 3);
      const later = fleet.arrivals.filter(
        ({ entry, parts, sentMs }) =>
          entry === 'entry-0' &&
          parts.includes(CRASHING_PART) &&
          sentMs > backMs + STABLE_WINDOW_MS,
      );
      expect(later.length).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against ends that go on while the store is down, and against knowledge lost with it.
  it(
    'are contained when the store is down from their start',
    async () => {
      await createFleet(8);
      await startSeries();
      const seriesMs = timers.getNow();
      fleet.store.setFaults({ outage: 'down' });
      await timers.advance(SERIES_MS / 4);
      fleet.store.setFaults({ outage: 'none' });
      await timers.advance(STABLE_WINDOW_MS);
      for (const entry of fleet.entries) entry.kill();
      for (let index = 0; index < 8; index += 1) fleet.startEntry(index);
      await timers.advance((3 * SERIES_MS) / 4 - STABLE_WINDOW_MS);
      expectContained(seriesMs);
      expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against parts that are blocked because targets ended for other reasons.
  it(
    'are not assumed when targets end for other reasons',
    async () => {
      await createFleet(8);
      await timers.advance(2000);
      repeat(SOUND_INTERVAL_MS, () => [chooseFirstPart()]);
      repeat(SOUND_INTERVAL_MS, () => [`rare${Math.floor(fleet.random.next() * 2000)}`]);
      const startMs = timers.getNow();
      await timers.advance(CALM_MS);
      const failureMs = timers.getNow();
      for (let round = 0; round < 3; round += 1) {
        fleet.endTargets(6);
        await timers.advance(2000);
      }
      await timers.advance(CALM_MS);
      const usual = computeSoundShare(startMs, failureMs);
      const during = computeSoundShare(failureMs, failureMs + CALM_MS);
      const later = computeSoundShare(failureMs + CALM_MS, timers.getNow() - STABLE_WINDOW_MS);
      expect(during).toBeGreaterThan(0.8 * usual);
      expect(later).toBeGreaterThan(0.99 * usual);
      const refused = fleet.requests.filter(({ outcome }) => outcome.status === 503);
      expect(refused.length).toBeLessThan(0.01 * fleet.requests.length);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against 44 entries that all remove the same records, at the same time.
  it(
    'are forgotten with few store calls a while after they stop',
    async () => {
      await createFleet(44);
      await startSeries();
      await timers.advance(SERIES_MS / 2);
      fleet.stopTraffic();
      const countSuspectRecords = (): number => fleet.store.listRecords('prompts/').length;
      expect(countSuspectRecords()).toBeGreaterThan(0);
      const records = countSuspectRecords();
      const countWrites = (): number => {
        let writes = 0;
        for (const { link } of fleet.entries) writes += link.writes;
        return writes;
      };
      await timers.advance(FORGET_MS / 2);
      const writesBefore = countWrites();
      await timers.advance(FORGET_MS / 2);
      expect(countSuspectRecords()).toBe(0);
      expect(countWrites() - writesBefore).toBeLessThanOrEqual(MAX_REMOVALS * records);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against costs that grow with the square of the entries.
  it(
    'cost each of 410 entries as many store calls as each of eight',
    async () => {
      await createFleet(410, 32);
      await startSeries();
      const seriesMs = timers.getNow();
      const countWrites = (): number => {
        let writes = 0;
        for (const { link } of fleet.entries) writes += link.writes;
        return writes;
      };
      const writesBefore = countWrites();
      const messagesBefore = fleet.peerMessages;
      await timers.advance(SERIES_MS / 2);
      expect(countLater()).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
      expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
      expect(countWrites() - writesBefore).toBeLessThanOrEqual(410);
      expect(fleet.peerMessages - messagesBefore).toBeLessThanOrEqual(20 * 410);
      expect(computeSoundShare(seriesMs, timers.getNow() - STABLE_WINDOW_MS)).toBeGreaterThan(0.9);
    },
    SIMULATION_TIMEOUT_MS,
  );
});
