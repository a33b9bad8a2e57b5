import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { SimFleet } from './support/SimFleet.js';

/** Time within which all entries must act on what one of them learned, milliseconds. */
const STABLE_WINDOW_MS = 3000;

/** Span over which the arrivals at a target are counted, milliseconds. */
const SPAN_MS = 4000;

const SPAN_SECONDS = SPAN_MS / 1000;

/** Arrivals in a span may exceed the limit by this factor, and by this number. */
const MAX_EXCESS_FACTOR = 1.5;
const MAX_EXCESS = 5;

/** Least part of its limit that a target gets while more is demanded. */
const MIN_USE = 0.8;

/** What is known not to be servable is refused within this time, milliseconds. */
const MAX_REFUSAL_MS = 100;

const START_MS = 2000;

const CALM_MS = 4000;

const LIMITED_MS = 20_000;

const SEED = 21;

const SIMULATION_TIMEOUT_MS = 120_000;

interface Load {
  readonly entries: number;
  readonly targets: number;
  /** Targets that name the limit. */
  readonly limited: number;
  readonly limit: number;
  readonly requestsPerSecond: number;
  readonly kind: 'stream' | 'single';
}

/** The plain service of a deployment: three targets, two of them at about half of their load. */
const PLAIN: Load = {
  entries: 8,
  targets: 3,
  limited: 2,
  limit: 1.4,
  requestsPerSecond: 9,
  kind: 'single',
};

// Day "capped" of issue 21: targets in need name the requests a second that they take from all
// entries together; callers go on as before.
describe('targets that name a limit', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;
  let limitedMs = 0;

  async function startLoad(load: Load): Promise<void> {
    fleet = new SimFleet(timers, { entries: load.entries, targets: load.targets, seed: SEED });
    await fleet.start();
    await timers.advance(START_MS);
    fleet.repeat(1000 / load.requestsPerSecond, () => void fleet.send(['f'], load.kind));
    await timers.advance(CALM_MS);
    fleet.setLimit(load.limited, load.limit);
    limitedMs = timers.getNow();
  }

  /** Lists the times at which requests reached a target, from a time on, milliseconds. */
  function listArrivalsMs(index: number, fromMs: number): number[] {
    const times: number[] = [];
    for (const { target, atMs } of fleet.arrivals) {
      if (target.startsWith(`target-${index}.`) && atMs >= fromMs) times.push(atMs);
    }
    return times;
  }

  function countBusiestSpan(timesMs: readonly number[]): number {
    let most = 0;
    let first = 0;
    for (const [last, timeMs] of timesMs.entries()) {
      while ((timesMs[first] as number) <= timeMs - SPAN_MS) first += 1;
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  function expectWithinLimit({ limited, limit }: Load, fromMs = limitedMs): void {
    for (let index = 0; index < limited; index += 1) {
      const timesMs = listArrivalsMs(index, fromMs + STABLE_WINDOW_MS);
      expect(countBusiestSpan(timesMs)).toBeLessThanOrEqual(
        MAX_EXCESS_FACTOR * limit * SPAN_SECONDS + MAX_EXCESS,
      );
    }
  }

  /** Expects that limited targets get what they take, and that refusals are immediate and honest. */
  function expectGoodService({ limited, limit }: Load): void {
    const fromMs = limitedMs + STABLE_WINDOW_MS;
    const seconds = (timers.getNow() - fromMs) / 1000;
    for (let index = 0; index < limited; index += 1) {
      const rate = listArrivalsMs(index, fromMs).length / seconds;
      expect(rate).toBeGreaterThan(MIN_USE * limit);
    }
    for (const { outcome } of fleet.requests) {
      if (outcome.status === 200 || outcome.status === 0) continue;
      expect([429, 503]).toContain(outcome.status);
      expect(outcome.retryAfterMs).toBeGreaterThan(0);
      expect(outcome.firstByteMs).toBeLessThan(MAX_REFUSAL_MS);
    }
  }

  beforeEach(() => timers.begin());

  afterEach(async () => {
    fleet.stop();
    await timers.advance(20_000);
    timers.end();
  });

  // Guards against limits that are unknown, or kept by each entry but exceeded in the sum.
  it.each<Load>([
    PLAIN,
    { ...PLAIN, limited: 3, limit: 0.5 },
    { ...PLAIN, entries: 44, limit: 1, requestsPerSecond: 30 },
    { ...PLAIN, entries: 44, targets: 16, limited: 12, limit: 4, requestsPerSecond: 90 },
    { ...PLAIN, entries: 410, targets: 16, limited: 16, limit: 20, requestsPerSecond: 600 },
  ])(
    'get no more than it allows from $entries entries ($limited of $targets targets, $limit a second)',
    async (load) => {
      await startLoad(load);
      await timers.advance(LIMITED_MS);
      expectWithinLimit(load);
      expectGoodService(load);
    },
    SIMULATION_TIMEOUT_MS,
  );

  it(
    'get no more than it allows in streams',
    async () => {
      const load: Load = { ...PLAIN, kind: 'stream', limit: 2, requestsPerSecond: 20 };
      await startLoad(load);
      await timers.advance(LIMITED_MS);
      expectWithinLimit(load);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a limit that stays after the target has lifted or raised it.
  it.each([null, 48])(
    'get their usual load again when it is lifted (to %s)',
    async (later) => {
      const load: Load = { ...PLAIN, limited: 3, requestsPerSecond: 60 };
      await startLoad(load);
      await timers.advance(LIMITED_MS / 2);
      fleet.setLimit(3, later);
      await timers.advance(STABLE_WINDOW_MS);
      const fromMs = timers.getNow();
      await timers.advance(LIMITED_MS / 2);
      const seconds = (timers.getNow() - fromMs) / 1000;
      for (let index = 0; index < 3; index += 1) {
        expect(listArrivalsMs(index, fromMs).length / seconds).toBeGreaterThan(0.8 * 20);
      }
      const refused = fleet.requests.filter(
        ({ sentMs, outcome }) => sentMs > fromMs && outcome.status !== 200,
      );
      expect(refused).toHaveLength(0);
    },
    SIMULATION_TIMEOUT_MS,
  );

  it(
    'get less when they lower it',
    async () => {
      const load: Load = { ...PLAIN, limit: 3, requestsPerSecond: 20 };
      await startLoad(load);
      await timers.advance(LIMITED_MS / 2);
      fleet.setLimit(load.limited, 0.8);
      const loweredMs = timers.getNow();
      await timers.advance(LIMITED_MS);
      expectWithinLimit({ ...load, limit: 0.8 }, loweredMs);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against restarts that refill what an entry may send, and against limits they forget.
  it.each([1, 4, 8])(
    'get no more than it allows when %d of eight entries are killed and start again',
    async (killed) => {
      const load: Load = { ...PLAIN, requestsPerSecond: 30 };
      await startLoad(load);
      await timers.advance(LIMITED_MS / 2);
      for (const entry of fleet.entries.slice(0, killed)) entry.kill();
      await timers.advance(1000);
      for (let index = 0; index < killed; index += 1) fleet.startEntry(index);
      await timers.advance(LIMITED_MS);
      expectWithinLimit(load);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against an entry that is cut off and goes on alone, or learned of no limit meanwhile.
  it(
    'get no more than it allows when an entry is cut off and when it is back',
    async () => {
      const load: Load = { ...PLAIN, requestsPerSecond: 30 };
      await startLoad(load);
      fleet.setCut(0, true);
      await timers.advance(LIMITED_MS / 2);
      fleet.setCut(0, false);
      await timers.advance(LIMITED_MS);
      expectWithinLimit(load);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against entries that keep a rate alone, because the others' registrations have lapsed.
  it.each([8, 44])(
    'get no more than it allows from %d entries while the store is down and after it',
    async (entries) => {
      const load: Load = { ...PLAIN, entries, requestsPerSecond: 60 };
      await startLoad(load);
      fleet.store.setFaults({ outage: 'down' });
      await timers.advance(LIMITED_MS / 2);
      fleet.store.setFaults({ outage: 'none' });
      await timers.advance(LIMITED_MS);
      expectWithinLimit(load);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against costs that grow with the square of the entries.
  it(
    'cost each of 410 entries no more messages than its requests need',
    async () => {
      const load: Load = {
        ...PLAIN,
        entries: 410,
        targets: 16,
        limited: 16,
        limit: 20,
        requestsPerSecond: 600,
      };
      await startLoad(load);
      const messagesBefore = fleet.peerMessages;
      const requestsBefore = fleet.requests.length;
      let writesBefore = 0;
      for (const { link } of fleet.entries) writesBefore += link.writes;
      await timers.advance(LIMITED_MS / 2);
      let writes = -writesBefore;
      for (const { link } of fleet.entries) writes += link.writes;
      const requests = fleet.requests.length - requestsBefore;
      expect(fleet.peerMessages - messagesBefore).toBeLessThan(4 * requests + 4 * 16 * 410);
      expect(writes).toBeLessThan(410);
    },
    SIMULATION_TIMEOUT_MS,
  );
});
