import { afterEach, beforeEach, expect, it } from 'vitest';
import { SeededRandom, fail, type Store } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { EntryLease, RealTimers } from '@limpetbay/gateway';

const LOG = { report: () => {}, warn: () => {}, alert: () => {} };
const PREFIX = 'entries/';

let timers: SimTimers;
let rejections: unknown[];
let listeners: NodeJS.UnhandledRejectionListener[];

beforeEach(() => {
  timers = new SimTimers();
  timers.begin();
  rejections = [];
  // The test runner reports rejections that it sees itself as failures.
  listeners = process.listeners('unhandledRejection');
  process.removeAllListeners('unhandledRejection');
  process.on('unhandledRejection', (error) => rejections.push(error));
});

afterEach(() => {
  timers.end();
  process.removeAllListeners('unhandledRejection');
  for (const listener of listeners) process.on('unhandledRejection', listener);
});

/** Starts a registration and returns how many entries are registered after `durationMs`. */
async function countEntries(store: Store, backing: MemoryStore, durationMs: number) {
  const lease = new EntryLease({
    store,
    timers: new RealTimers(),
    random: new SeededRandom(1),
    log: LOG,
    countEntries: () => 1,
    key: `${PREFIX}entry-1`,
    record: { name: 'entry-1', callerAddress: 'a:1', peerAddress: 'a:2', zone: 'a' },
  });
  lease.start();
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) await timers.advance(100);
  const read = backing.readPrefix(PREFIX);
  await timers.advance(100);
  return (await read).unwrap().records.length;
}

// Guards against an entry that stays up, but whose registration expires after one odd answer.
it('keeps an entry registered after a call to the store that throws', async () => {
  const random = new SeededRandom(1);
  const store = new MemoryStore(timers, random);
  let renewals = 0;
  const oddStore = {
    grantLease: (ttlMs: number) => store.grantLease(ttlMs),
    commit: (transaction: Parameters<Store['commit']>[0]) => store.commit(transaction),
    renewLease: (lease: string) => {
      renewals += 1;
      return renewals === 1 ? Promise.reject(new Error('odd answer')) : store.renewLease(lease);
    },
  };
  expect(await countEntries(oddStore as unknown as Store, store, 6000)).toBe(1);
});

// Guards against an unanswered write that the store carries out late: it would bind the registration
// to a lease that has been given up, and the registration would end with it.
it('keeps an entry registered after its first write is carried out late', async () => {
  const store = new MemoryStore(timers, new SeededRandom(1));
  let commits = 0;
  const lateStore = {
    grantLease: (ttlMs: number) => store.grantLease(ttlMs),
    renewLease: (lease: string) => store.renewLease(lease),
    commit: async (transaction: Parameters<Store['commit']>[0]) => {
      commits += 1;
      if (commits > 1) return store.commit(transaction);
      new RealTimers().schedule(1800, () => void store.commit(transaction));
      return fail('outcome_unknown', 'no answer in time');
    },
  };
  expect(await countEntries(lateStore as unknown as Store, store, 8000)).toBe(1);
});
