import { afterEach, beforeEach, expect, it } from 'vitest';
import { SeededRandom } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { SimEntry } from './support/SimEntry.js';
import { simLayout } from './support/simLayout.js';

const TICK_MS = 250;
const FAILURES = 3;

const CONFIG = JSON.stringify({
  version: 1,
  routes: [],
  services: [],
  workspaces: [],
  maxBodyBytes: 1000,
  idleTimeoutMs: 15_000,
  headTimeoutMs: 10_000,
});

let timers: SimTimers;

beforeEach(() => {
  timers = new SimTimers();
  timers.begin();
});

afterEach(() => timers.end());

// Guards against an entry that goes on after an error in a periodic task, but no longer expires,
// registers or subscribes.
it('runs its periodic tasks again after one of them has failed', async () => {
  const random = new SeededRandom(1);
  let calls = 0;
  const entry = new SimEntry({
    clock: timers,
    random,
    store: new MemoryStore(timers, random),
    name: 'entry-1',
    peerAddress: '10.0.0.1:7340',
    network: {
      openPool: () => {
        throw new Error('not used');
      },
      checkListener: () => Promise.resolve('silent'),
      sendToPeers: () => {
        calls += 1;
        if (calls > 1 && calls <= 1 + FAILURES) throw new Error('odd address');
      },
    },
  });
  await timers.advance(10 * TICK_MS);
  expect(calls).toBeGreaterThan(1 + FAILURES);
  entry.kill();
});

// Guards against a periodic task that fails each time and keeps those behind it from running.
it('registers although another periodic task fails each time', async () => {
  const random = new SeededRandom(1);
  let calls = 0;
  const store = new MemoryStore(timers, random);
  const entry = new SimEntry({
    clock: timers,
    random,
    store,
    name: 'entry-1',
    peerAddress: '10.0.0.1:7340',
    network: {
      openPool: () => {
        throw new Error('not used');
      },
      checkListener: () => Promise.resolve('silent'),
      sendToPeers: () => {
        calls += 1;
        if (calls > 1) throw new Error('odd address');
      },
    },
  });
  void store.commit({ conditions: [], writes: [{ key: simLayout.configKey, value: CONFIG }] });
  for (let tick = 0; tick < 20; tick += 1) await timers.advance(TICK_MS).catch(() => {});
  expect(entry.isReady()).toBe(true);
  const read = store.readPrefix(simLayout.entryPrefix);
  await timers.advance(TICK_MS).catch(() => {});
  const { records } = (await read).unwrap();
  expect(records.map(({ key }) => key)).toEqual([`${simLayout.entryPrefix}entry-1`]);
  entry.kill();
});
