import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { SimFleet } from './support/SimFleet.js';
import { countLaterArrivals } from './support/countLaterArrivals.js';

type Kind = NonNullable<Parameters<SimFleet['send']>[1]>;

/** Time within which all entries must act on what one of them learned, milliseconds. */
const STABLE_WINDOW_MS = 3000;

/** Targets that one request may end. */
const MAX_ENDS = 3;

/** Requests that may still reach targets when every entry must know. */
const MAX_LATER_ARRIVALS = 3;

/** Least share of sound requests that are served beside the series. */
const MIN_SOUND_SHARE = 0.99;

const SOUND_INTERVAL_MS = 15;

const CRASHING_INTERVAL_MS = 500;

/** Parts that sound requests have in common with the crashing one. */
const SHARED_PARTS = ['shared', 'also'];

const CRASHING = { body: 'crashing', apiKey: 'key' } as const;

/** Traffic before the first crashing request, milliseconds. */
const CALM_MS = 3000;

/** How long crashing requests arrive, milliseconds. */
const SERIES_MS = 24_000;

const SIMULATION_TIMEOUT_MS = 120_000;

// Issue 27: a caller sends one request again and again, at any entry, and each target ends when it
// begins to run it. Sound requests have the same caller, path and shared parts, and other bodies.
describe('a request that ends targets', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  async function createFleet(entries: number, targets = 16, seed = 27): Promise<void> {
    fleet = new SimFleet(timers, { entries, targets, seed });
    await fleet.start();
    await timers.advance(2000);
  }

  /** Starts sound traffic and, after a calm time, a series of the crashing request. */
  async function startSeries(kind: Kind, copies = 1): Promise<void> {
    fleet.crashingBodies.add(CRASHING.body);
    fleet.repeat(SOUND_INTERVAL_MS, () => void fleet.send(SHARED_PARTS, kind));
    await timers.advance(CALM_MS);
    fleet.repeat(CRASHING_INTERVAL_MS, () => {
      for (let copy = 0; copy < copies; copy += 1) {
        void fleet.send(SHARED_PARTS, kind, Infinity, CRASHING);
      }
    });
  }

  /** Counts crashing requests that were sent to targets when all entries must know. */
  function countLater(): number {
    const thirdEndMs = fleet.ends[MAX_ENDS - 1]?.atMs ?? Infinity;
    return countLaterArrivals(fleet, thirdEndMs, ({ body }) => body === CRASHING.body);
  }

  /** Returns the share of the sound requests sent from a time on that were served. */
  function computeSoundShare(fromMs: number): number {
    let sent = 0;
    let served = 0;
    for (const { body, sentMs, outcome } of fleet.requests) {
      if (body === CRASHING.body || sentMs < fromMs) continue;
      sent += 1;
      if (outcome.status === 200 && outcome.isComplete) served += 1;
    }
    return sent === 0 ? 0 : served / sent;
  }

  function expectContained(): void {
    expect(fleet.ends.length).toBeLessThanOrEqual(MAX_ENDS);
    expect(countLater()).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
  }

  beforeEach(() => timers.begin());

  afterEach(async () => {
    fleet.stop();
    await timers.advance(20_000);
    timers.end();
  });

  // Guards against ends that go on because nothing identifies the request that causes them.
  it.each([
    ['stream', 1],
    ['stream', 2],
    ['single', 3],
    ['unsafe', 4],
  ] as const)(
    'ends at most three targets, on a route of kind %s (seed %d)',
    async (kind, seed) => {
      await createFleet(8, 16, seed);
      await startSeries(kind);
      await timers.advance(SERIES_MS);
      expectContained();
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against sound requests of the same caller, path or prompt that are refused with it.
  it(
    'takes no sound requests of its caller, path and prompt along',
    async () => {
      await createFleet(8);
      await startSeries('stream');
      const seriesMs = timers.getNow();
      await timers.advance(SERIES_MS);
      expect(computeSoundShare(seriesMs)).toBeGreaterThan(MIN_SOUND_SHARE);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against copies that arrive at several entries before any of them knows.
  it.each(['stream', 'single'] as const)(
    'ends at most three targets when two copies arrive at a time, on a route of kind %s',
    async (kind) => {
      await createFleet(8);
      await startSeries(kind, 2);
      await timers.advance(SERIES_MS);
      expectContained();
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a refusal that does not tell its caller when the request could run again.
  it(
    'is refused as not run, with the time for which it is blocked',
    async () => {
      await createFleet(8);
      await startSeries('unsafe');
      await timers.advance(SERIES_MS / 2);
      fleet.stopTraffic();
      await timers.advance(STABLE_WINDOW_MS);
      const before = fleet.requests.length;
      void fleet.send(SHARED_PARTS, 'unsafe', Infinity, CRASHING);
      await timers.advance(100);
      const [{ outcome } = { outcome: null }] = fleet.requests.slice(before);
      expect(outcome).toMatchObject({ status: 503, isComplete: true });
      expect(outcome?.retryAfterMs).toBeGreaterThan(10_000);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a block that also holds for other callers of the same path and body.
  it(
    'is not blocked for another caller',
    async () => {
      await createFleet(8);
      await startSeries('single');
      await timers.advance(SERIES_MS / 2);
      fleet.crashingBodies.clear();
      const before = fleet.requests.length;
      void fleet.send(SHARED_PARTS, 'single', Infinity, { ...CRASHING, apiKey: 'other' });
      await timers.advance(1000);
      const answered = fleet.requests.slice(before).filter(({ body }) => body === CRASHING.body);
      expect(answered.map(({ outcome }) => outcome.status)).toContain(200);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against entries that forget the request when they restart, one by one or all at once.
  it.each([3, 8])(
    'stays blocked when %d of eight entries are killed and start again',
    async (killed) => {
      await createFleet(8);
      await startSeries('stream');
      await timers.advance(SERIES_MS / 3);
      for (const entry of fleet.entries.slice(0, killed)) entry.kill();
      await timers.advance(500);
      for (let index = 0; index < killed; index += 1) fleet.startEntry(index);
      await timers.advance((2 * SERIES_MS) / 3);
      expectContained();
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against an entry that was cut off while the others learned of the request.
  it(
    'is blocked within the stable window at an entry that was cut off meanwhile',
    async () => {
      await createFleet(8);
      await startSeries('stream');
      fleet.setCut(0, true);
      await timers.advance(SERIES_MS / 3);
      fleet.setCut(0, false);
      const backMs = timers.getNow();
      await timers.advance((2 * SERIES_MS) / 3);
      const later = fleet.arrivals.filter(
        ({ entry, body, sentMs }) =>
          entry === 'entry-0' && body === CRASHING.body && sentMs > backMs + STABLE_WINDOW_MS,
      );
      expect(later.length).toBeLessThanOrEqual(MAX_LATER_ARRIVALS);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against ends that go on while the store is down, and against knowledge lost with it.
  it(
    'is contained when the store is down from its start',
    async () => {
      await createFleet(8);
      await startSeries('stream');
      fleet.store.setFaults({ outage: 'down' });
      await timers.advance(SERIES_MS / 4);
      fleet.store.setFaults({ outage: 'none' });
      await timers.advance(STABLE_WINDOW_MS);
      for (const entry of fleet.entries) entry.kill();
      for (let index = 0; index < 8; index += 1) fleet.startEntry(index);
      await timers.advance((3 * SERIES_MS) / 4 - STABLE_WINDOW_MS);
      expectContained();
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against sound requests that are blocked because targets ended for other reasons.
  it(
    'is not assumed when targets end for other reasons, also by callers that poll',
    async () => {
      await createFleet(8, 48);
      const polls = { body: 'poll', apiKey: 'key' };
      fleet.repeat(SOUND_INTERVAL_MS, () => void fleet.send(SHARED_PARTS, 'single'));
      fleet.repeat(SOUND_INTERVAL_MS, () => void fleet.send([], 'single', Infinity, polls));
      await timers.advance(CALM_MS);
      for (let round = 0; round < 4; round += 1) {
        fleet.endTargets(6);
        await timers.advance(1000);
      }
      await timers.advance(CALM_MS);
      const refused = fleet.requests.filter(({ outcome }) => outcome.status === 503);
      expect(refused.length).toBeLessThan(0.01 * fleet.requests.length);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a store call or many datagrams for each request that an ordinary end breaks off.
  it(
    'costs no store calls when targets of 410 entries end for other reasons',
    async () => {
      await createFleet(410, 32);
      fleet.repeat(SOUND_INTERVAL_MS / 5, () => void fleet.send(SHARED_PARTS, 'single'));
      await timers.advance(CALM_MS);
      const countWrites = (): number => {
        let writes = 0;
        for (const { link } of fleet.entries) writes += link.writes;
        return writes;
      };
      const writesBefore = countWrites();
      const messagesBefore = fleet.peerMessages;
      fleet.endTargets(4);
      await timers.advance(SERIES_MS / 2);
      expect(fleet.ends).toHaveLength(4);
      expect(countWrites() - writesBefore).toBe(0);
      expect(fleet.peerMessages - messagesBefore).toBeLessThanOrEqual(20 * 410);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against costs that grow with the square of the entries.
  it(
    'costs each of 410 entries as many store calls and datagrams as a crashing prompt',
    async () => {
      await createFleet(410, 32);
      await startSeries('stream');
      const countWrites = (): number => {
        let writes = 0;
        for (const { link } of fleet.entries) writes += link.writes;
        return writes;
      };
      const writesBefore = countWrites();
      const messagesBefore = fleet.peerMessages;
      await timers.advance(SERIES_MS / 2);
      expectContained();
      expect(countWrites() - writesBefore).toBeLessThanOrEqual(410);
      expect(fleet.peerMessages - messagesBefore).toBeLessThanOrEqual(20 * 410);
    },
    SIMULATION_TIMEOUT_MS,
  );
});
