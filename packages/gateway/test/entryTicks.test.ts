import { afterEach, beforeEach, expect, it } from 'vitest';
import { SeededRandom } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { SimEntry } from './support/SimEntry.js';

const TICK_MS = 250;
const FAILURES = 3;

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
