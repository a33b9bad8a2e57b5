import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { SimTimers } from '@limpetbay/standins';
import { buildSimAddress } from './support/buildSimAddress.js';
import { SimFleet } from './support/SimFleet.js';
import { simLayout } from './support/simLayout.js';

/** Time within which everything that the system wrote must be stored again, milliseconds. */
const REWRITE_MS = 6000;

/** Longer than a registration is kept without a renewal, milliseconds. */
const LEASE_MS = 4000;

const START_MS = 2000;

const CALM_MS = 3000;

const CRASHING_PART = 'dead';

const CRASHING_INTERVAL_MS = 500;

const SOUND_INTERVAL_MS = 15;

const SERIES_MS = 6000;

const LIMIT = 2;

/** Calls a second that the store of a deployment with 44 entries bears. */
const MAX_WRITES_PER_SECOND = 1200;
const MAX_READS_PER_SECOND = 6000;

/** Entries that write the same record again; most of them see it written by another one. */
const MAX_WRITERS = 3;

/** Calls of one entry to register: one for the lease, one for the record, one that is refused. */
const MAX_REGISTRATION_CALLS = 3;

/** Longer than a registration lasts without a renewal and two calls to renew it take. */
const OUTAGE_MS = 6000;

/** Time after the return of the store from which entries must name no entry that is gone. */
const STABLE_MS = 3000;

const SIMULATION_TIMEOUT_MS = 120_000;

/** Expects that each entry names all others at every moment until they had time to register again. */
async function expectAllNamed(timers: SimTimers, { entries }: SimFleet): Promise<void> {
  for (let step = 0; step < REWRITE_MS / 100; step += 1) {
    await timers.advance(100);
    for (const entry of entries) expect(entry.listAddresses()).toHaveLength(entries.length);
  }
}

/** Expects that no other entry names one that has ended. */
function expectNotNamed({ entries }: SimFleet, ended: number): void {
  for (const [index, entry] of entries.entries()) {
    if (index === ended) continue;
    expect(entry.listAddresses()).not.toContain(buildSimAddress(`entry-${ended}`, 80));
  }
}

// Day "restored" of issue 24: the store comes back from a copy that lacks what it acknowledged.
describe('entries whose store is restored from a copy', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  async function createFleet(entries: number, targets = 16): Promise<void> {
    fleet = new SimFleet(timers, { entries, targets, seed: 24 });
    await fleet.start();
    await timers.advance(START_MS);
  }

  function repeat(intervalMs: number, parts: readonly string[]): void {
    fleet.repeat(intervalMs, () => void fleet.send(parts));
  }

  function listKeys(prefix: string): string[] {
    return fleet.store.listRecords(prefix).map(({ key }) => key);
  }

  function countCalls(): { reads: number; writes: number } {
    const { reads, writes, leases } = fleet.store.getCounts();
    return { reads, writes: writes + leases };
  }

  beforeEach(() => timers.begin());

  afterEach(async () => {
    fleet.stop();
    await timers.advance(LEASE_MS);
    timers.end();
  });

  // Guards against parts that end targets again because the store forgot them.
  it(
    'store a part that ends targets again, and keep it blocked',
    async () => {
      await createFleet(8);
      const copy = fleet.store.takeCopy();
      fleet.crashingParts.add(CRASHING_PART);
      repeat(SOUND_INTERVAL_MS, ['f']);
      repeat(CRASHING_INTERVAL_MS, [CRASHING_PART]);
      await timers.advance(SERIES_MS);
      const key = `${simLayout.suspectPrefix}${CRASHING_PART}`;
      expect(listKeys(simLayout.suspectPrefix)).toContain(key);
      const writesBefore = fleet.entries.map(({ link }) => link.writes);
      fleet.store.restore(copy);
      await timers.advance(REWRITE_MS);
      expect(listKeys(simLayout.suspectPrefix)).toContain(key);
      const writers = fleet.entries.filter(
        ({ link }, index) => link.writes - (writesBefore[index] ?? 0) > MAX_REGISTRATION_CALLS,
      );
      expect(writers.length).toBeLessThanOrEqual(MAX_WRITERS);
      for (const entry of fleet.entries) entry.kill();
      for (let index = 0; index < 8; index += 1) fleet.startEntry(index);
      const endsBefore = fleet.ends.length;
      await timers.advance(SERIES_MS);
      expect(fleet.ends.length).toBe(endsBefore);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against a part that ends more targets while its record is missing.
  it(
    'keep a part that ends targets blocked from the restoration on',
    async () => {
      await createFleet(8);
      const copy = fleet.store.takeCopy();
      fleet.crashingParts.add(CRASHING_PART);
      repeat(SOUND_INTERVAL_MS, ['f']);
      repeat(CRASHING_INTERVAL_MS, [CRASHING_PART]);
      await timers.advance(SERIES_MS);
      const endsBefore = fleet.ends.length;
      fleet.store.restore(copy);
      await timers.advance(SERIES_MS);
      expect(fleet.ends.length).toBe(endsBefore);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against limits that entries forget or that later ones do not learn.
  it(
    'store a limit that a target named again',
    async () => {
      await createFleet(8, 3);
      const copy = fleet.store.takeCopy();
      repeat(SOUND_INTERVAL_MS, ['f']);
      fleet.setLimit(2, LIMIT);
      await timers.advance(CALM_MS);
      expect(listKeys(simLayout.limitPrefix)).toHaveLength(2);
      fleet.stopTraffic();
      await timers.advance(CALM_MS);
      fleet.store.restore(copy);
      await timers.advance(REWRITE_MS);
      expect(listKeys(simLayout.limitPrefix)).toHaveLength(2);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against registrations that stay lost, and against a flood of calls to the store.
  it.each([8, 44, 410])(
    'register all again within what the store bears (%i entries)',
    async (entries) => {
      await createFleet(entries);
      const beforeRegistration = fleet.store.takeCopy();
      await timers.advance(CALM_MS);
      expect(listKeys(simLayout.entryPrefix)).toHaveLength(entries);
      fleet.store.restore({ ...beforeRegistration, entries: keepOthers(beforeRegistration) });
      let before = countCalls();
      for (let second = 0; second < REWRITE_MS / 1000; second += 1) {
        await timers.advance(1000);
        const after = countCalls();
        expect(after.writes - before.writes).toBeLessThan(MAX_WRITES_PER_SECOND);
        expect(after.reads - before.reads).toBeLessThan(MAX_READS_PER_SECOND);
        before = after;
      }
      await timers.advance(LEASE_MS);
      expect(listKeys(simLayout.entryPrefix)).toHaveLength(entries);
      const kept = fleet.entries.filter((entry) => entry.listAddresses().length === entries);
      expect(kept).toHaveLength(entries);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against callers that are sent to few entries, and shares of limits that grow at once.
  it(
    'keep each other in the directory until all had time to register again',
    async () => {
      await createFleet(8);
      const copy = fleet.store.takeCopy();
      await timers.advance(CALM_MS);
      fleet.store.restore({ ...copy, entries: keepOthers(copy) });
      await expectAllNamed(timers, fleet);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against callers that are sent to an entry that is gone.
  it(
    'do not name an entry that was gone before',
    async () => {
      await createFleet(8);
      const copy = fleet.store.takeCopy();
      fleet.entries[3]?.kill();
      await timers.advance(LEASE_MS);
      fleet.store.restore(copy);
      for (let step = 0; step < REWRITE_MS / 100; step += 1) {
        await timers.advance(100);
        expectNotNamed(fleet, 3);
      }
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against callers that are sent to an entry that ended while the store was away.
  it(
    'name no entry that ended just before, once the store is stable again',
    async () => {
      await createFleet(8);
      const copy = fleet.store.takeCopy();
      await timers.advance(CALM_MS);
      fleet.entries[3]?.kill();
      fleet.store.restore({ ...copy, entries: keepOthers(copy) });
      await timers.advance(STABLE_MS);
      expectNotNamed(fleet, 3);
    },
    SIMULATION_TIMEOUT_MS,
  );

  /** Returns the records of a copy without the registrations of entries. */
  function keepOthers({ entries }: ReturnType<SimFleet['store']['takeCopy']>): typeof entries {
    const kept = [...entries].filter(([key]) => !key.startsWith(simLayout.entryPrefix));
    return new Map(kept);
  }
});

// The same class: registrations that are lost although their entries run.
describe('entries whose registrations lapse in an outage of the store', () => {
  const timers = new SimTimers();
  let fleet: SimFleet;

  beforeEach(async () => {
    timers.begin();
    fleet = new SimFleet(timers, { entries: 8, targets: 3, seed: 24 });
    await fleet.start();
    await timers.advance(START_MS);
  });

  afterEach(async () => {
    fleet.stop();
    await timers.advance(LEASE_MS);
    timers.end();
  });

  // Guards against callers that are sent to few entries, and rates that several entries keep.
  it(
    'keep each other in the directory until all had time to register again',
    async () => {
      fleet.store.setFaults({ outage: 'down' });
      await timers.advance(OUTAGE_MS);
      fleet.store.setFaults({ outage: 'none' });
      await expectAllNamed(timers, fleet);
    },
    SIMULATION_TIMEOUT_MS,
  );

  // Guards against callers that are sent to an entry that ended while the store was away.
  it(
    'name no entry that ended in the outage, once the store is stable again',
    async () => {
      fleet.store.setFaults({ outage: 'down' });
      fleet.entries[3]?.kill();
      await timers.advance(OUTAGE_MS);
      fleet.store.setFaults({ outage: 'none' });
      await timers.advance(STABLE_MS);
      expectNotNamed(fleet, 3);
    },
    SIMULATION_TIMEOUT_MS,
  );
});
