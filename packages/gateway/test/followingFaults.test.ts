import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  Era,
  ManualClock,
  Ok,
  Revision,
  SeededRandom,
  type Store,
  type StorePosition,
  type StoreRecord,
  type StoreWatchListener,
} from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';
import { EntryLease, RealTimers, StoreMirror } from '../src/index.js';

const POSITION: StorePosition = { era: Era.parse('1'), revision: Revision.parse(5) };

const FAULT = new Error('a fault');

function buildRecord(key: string, revision: number): StoreRecord {
  return { key, value: 'v', revision: Revision.parse(revision) };
}

// Guards against a process that stops following the store after one exception.
describe('after a fault', () => {
  const alerts: string[] = [];
  const log: Log = {
    report: () => {},
    warn: () => {},
    alert: (sentence) => alerts.push(sentence),
  };

  beforeEach(() => {
    alerts.length = 0;
    vi.useFakeTimers();
  });

  afterEach(() => vi.useRealTimers());

  function startMirror(
    readPrefix: Store['readPrefix'],
    onSnapshot: () => void,
    onRecord: (record: StoreRecord) => void,
  ): StoreWatchListener[] {
    const watches: StoreWatchListener[] = [];
    const mirror = new StoreMirror({
      clock: new ManualClock(),
      store: {
        readPrefix,
        watch: (_prefix: string, _from: StorePosition, listener: StoreWatchListener) => {
          watches.push(listener);
          return () => {};
        },
      } as unknown as Store,
      prefix: '',
      checkKey: 'check',
      listener: {
        onSnapshot,
        onRecord,
        onRemoval: () => {
          throw FAULT;
        },
      },
      timers: new RealTimers(),
      random: new SeededRandom(1),
      log,
      countMirrors: () => 1,
    });
    mirror.start();
    return watches;
  }

  it('a mirror applies the records after one whose handling threw', async () => {
    const applied: string[] = [];
    const watches = startMirror(
      () => Promise.resolve(Ok({ records: [], ...POSITION })),
      () => {},
      ({ key }) => {
        if (key === 'odd') throw FAULT;
        applied.push(key);
      },
    );
    await vi.advanceTimersByTimeAsync(0);
    const [watch] = watches;
    for (const [index, key] of ['a', 'odd', 'b'].entries()) {
      watch?.onChange(buildRecord(key, 6 + index));
    }
    watch?.onChange({ key: 'a', value: null, revision: Revision.parse(9) });
    watch?.onChange(buildRecord('c', 10));
    expect(applied).toEqual(['a', 'b', 'c']);
    expect(alerts).toHaveLength(2);
  });

  it.each(['read', 'snapshot'])('a mirror reads again when its %s threw', async (kind) => {
    let faults = 2;
    let snapshots = 0;
    const throwFault = (): void => {
      if (faults === 0) return;
      faults -= 1;
      throw FAULT;
    };
    const watches = startMirror(
      async () => {
        if (kind === 'read') throwFault();
        return Promise.resolve(Ok({ records: [], ...POSITION }));
      },
      () => {
        if (kind === 'snapshot') throwFault();
        snapshots += 1;
      },
      () => {},
    );
    await vi.advanceTimersByTimeAsync(5000);
    expect(snapshots).toBe(1);
    expect(watches).toHaveLength(1);
    expect(alerts).toHaveLength(2);
  });

  it('a lease is renewed and its registration written', async () => {
    let faults = 2;
    let renewals = 0;
    const throwFault = (): void => {
      if (faults === 0) return;
      faults -= 1;
      throw FAULT;
    };
    const lease = new EntryLease({
      store: {
        grantLease: async () => {
          throwFault();
          return Promise.resolve(Ok({ lease: '1/2', ttlMs: 2500 }));
        },
        commit: () => Promise.resolve(Ok({ committed: true, ...POSITION, current: [] })),
        renewLease: async () => {
          renewals += 1;
          if (renewals === 1) throw FAULT;
          return Promise.resolve(Ok({ ttlMs: 2500 }));
        },
        revokeLease: () => Promise.resolve(Ok(undefined)),
      } as unknown as Store,
      timers: new RealTimers(),
      random: new SeededRandom(1),
      log,
      countEntries: () => 1,
      key: 'entries/e',
      record: { name: 'e', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', zone: 'a' },
    });
    lease.start();
    await vi.advanceTimersByTimeAsync(5000);
    expect(renewals).toBeGreaterThan(3);
    expect(alerts).toHaveLength(3);
    await lease.stop();
  });
});
