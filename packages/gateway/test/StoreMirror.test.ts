import { afterEach, beforeEach, expect, it } from 'vitest';
import { Era, Revision, SeededRandom, type StorePosition } from '@limpetbay/core';
import { MemoryStore, SimTimers } from '@limpetbay/standins';
import { RealTimers, StoreMirror, type MirrorListener } from '@limpetbay/gateway';

const LOG = { report: () => {}, warn: () => {}, alert: () => {} };
const WAIT_MS = 3000;
const STEP_MS = 100;

let timers: SimTimers;
let store: MemoryStore;
let seen: string[];

beforeEach(() => {
  timers = new SimTimers();
  timers.begin();
  store = new MemoryStore(timers, new SeededRandom(1));
  seen = [];
});

afterEach(() => timers.end());

async function put(key: string): Promise<void> {
  const written = store.commit({ conditions: [], writes: [{ key, value: key }] });
  await timers.advance(100);
  await written;
}

/** Advances in steps, because an answer of the store arrives between two timers. */
async function waitForMirror(): Promise<void> {
  for (let waitedMs = 0; waitedMs < WAIT_MS; waitedMs += STEP_MS) await timers.advance(STEP_MS);
}

function startMirror(listener: Partial<MirrorListener>): StoreMirror {
  const mirror = new StoreMirror({
    clock: timers,
    store,
    prefix: '',
    checkKey: 'check',
    timers: new RealTimers(),
    random: new SeededRandom(2),
    log: LOG,
    countMirrors: () => 1,
    listener: {
      onSnapshot: ({ records }) => {
        for (const { key } of records) seen.push(key);
      },
      onRecord: ({ key }) => seen.push(key),
      onRemoval: (key) => seen.push(`-${key}`),
      ...listener,
    },
  });
  mirror.start();
  return mirror;
}

// Guards against a process that no longer follows the store after one record that it cannot use.
it('follows the store after an error about one change', async () => {
  const mirror = startMirror({
    onRecord: ({ key }) => {
      if (key === 'odd') throw new Error('odd record');
      seen.push(key);
    },
  });
  await waitForMirror();
  await put('odd');
  await put('next');
  await waitForMirror();
  expect(seen).toContain('next');
  mirror.stop();
});

// Guards against a process that never follows the store because its first read had an odd record.
it('follows the store after an error about a full read', async () => {
  await put('odd');
  const mirror = startMirror({
    onSnapshot: () => {
      throw new Error('odd record');
    },
  });
  await waitForMirror();
  await put('next');
  await waitForMirror();
  expect(seen).toContain('next');
  mirror.stop();
});

// Guards against an entry that keeps a withdrawn key or a departed target because its watch has
// gone silent, while other entries have received the change.
it('starts its watch again when other processes are ahead of it', async () => {
  const mirror = startMirror({});
  await waitForMirror();
  const before = mirror.getPosition();
  if (before === null) throw new Error('not read yet');
  store.watch = () => () => {};
  await put('first');
  const silent = startMirror({});
  await waitForMirror();
  const restarts: number[] = [];
  store.watch = (_prefix, from) => {
    restarts.push(from.revision);
    return () => {};
  };
  const own = silent.getPosition() as StorePosition;
  silent.handlePeerPosition({ ...own, revision: Revision.parse(own.revision + 1) });
  silent.handlePeerPosition({ ...own, revision: Revision.parse(own.revision + 1) });
  await waitForMirror();
  expect(restarts).toEqual([own.revision + 1]);
  silent.handlePeerPosition(own);
  silent.handlePeerPosition({ era: Era.parse('7'), revision: Revision.parse(1000) });
  await waitForMirror();
  expect(restarts).toHaveLength(1);
  mirror.stop();
  silent.stop();
});
