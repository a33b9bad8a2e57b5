import { afterEach, beforeEach, expect, it } from 'vitest';
import { SeededRandom, type Store } from '@limpetbay/core';
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
  const lease = new EntryLease({
    store: oddStore as unknown as Store,
    timers: new RealTimers(),
    random,
    log: LOG,
    countEntries: () => 1,
    key: `${PREFIX}entry-1`,
    record: { name: 'entry-1', callerAddress: 'a:1', peerAddress: 'a:2', zone: 'a' },
  });
  lease.start();
  for (let step = 0; step < 60; step += 1) await timers.advance(100);
  const read = store.readPrefix(PREFIX);
  await timers.advance(100);
  expect((await read).unwrap().records).toHaveLength(1);
});
