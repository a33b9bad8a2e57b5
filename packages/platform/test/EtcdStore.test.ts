import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  ManualClock,
  Revision,
  type Clock,
  type StoreRecord,
  type StoreWatchListener,
} from '@limpetbay/core';
import { EtcdStore } from '@limpetbay/platform';
import { RealClock } from '@limpetbay/runtime';
import { StoreServer } from '@limpetbay/standins';

interface Seen extends StoreWatchListener {
  readonly changes: (Omit<StoreRecord, 'value'> & { value: string | null })[];
  readonly progress: Revision[];
  readonly ends: string[];
}

/** Waits for real I/O with room for a busy machine. */
function settle(check: () => void | Promise<void>): Promise<void> {
  return vi.waitFor(check, 10_000);
}

function watchAll(): Seen {
  const changes: Seen['changes'] = [];
  const progress: Revision[] = [];
  const ends: string[] = [];
  return {
    changes,
    progress,
    ends,
    onChange: (change) => changes.push(change),
    onProgress: (revision) => progress.push(revision),
    onEnd: (reason) => ends.push(reason),
  };
}

describe('EtcdStore', () => {
  const clock: Clock = new RealClock();
  let server: StoreServer;
  let store: EtcdStore;

  beforeEach(async () => {
    server = new StoreServer({ clock });
    const address = await server.start();
    store = new EtcdStore({
      address,
      clock,
      timeoutMs: 300,
      silenceMs: 400,
      progressIntervalMs: 50,
    });
  });

  afterEach(async () => {
    store.close();
    await server.stop();
  });

  const put = (key: string, value: string, revision: number) =>
    store.commit({
      conditions: [{ key, revision: Revision.parse(revision) }],
      writes: [{ key, value }],
    });

  // Guards against two writers that both believe that they won.
  it('lets one of two racing commits win and shows the loser the present record', async () => {
    const results = await Promise.all([put('k', 'one', 0), put('k', 'two', 0)]);
    const committed = results.map((result) => result.unwrap().committed);
    expect(committed.sort()).toEqual([false, true]);
    const loser = results.map((result) => result.unwrap()).find((result) => !result.committed);
    expect(loser?.current[0]).toMatchObject({ key: 'k' });
    expect(server.getCalls()).toMatchObject({ Txn: 2 });
  });

  // Guards against a write that took effect and is reported as surely without effect.
  it('answers outcome_unknown when the answer to a write is lost', async () => {
    server.dropAnswers(1);
    const result = await put('k', 'v', 0);
    expect(result.val).toMatchObject({ kind: 'outcome_unknown' });
    const readBack = (await store.read('k')).unwrap();
    expect(readBack.record?.value).toBe('v');
  });

  // Guards against refusing to say "no effect" where the store or the library is sure of it.
  it('answers store_unavailable in an outage and while the store is down', async () => {
    await put('k', 'v', 0);
    server.setOutage(true);
    expect((await put('k', 'w', 2)).val).toMatchObject({ kind: 'store_unavailable' });
    server.setOutage(false);
    const port = Number(server.address.split(':')[1]);
    await server.stop();
    await settle(async () => {
      expect((await put('k', 'w', 2)).val).toMatchObject({ kind: 'store_unavailable' });
    });
    await server.start(port);
    await settle(async () => {
      expect((await store.read('k')).unwrap().record?.value).toBe('v');
    });
  });

  // Guards against a watch that loses the changes between a read and its start.
  it('resumes a watch from a revision and confirms progress', async () => {
    const { revision } = (await store.readPrefix('a/')).unwrap();
    await put('a/1', 'x', 0);
    await put('b/1', 'other prefix', 0);
    const seen = watchAll();
    store.watch('a/', Revision.parse(revision + 1), seen);
    await settle(() => expect(seen.progress.length).toBeGreaterThan(1));
    server.put('a/1', null);
    await settle(() => expect(seen.changes.length).toBe(2));
    expect(seen.changes.map((change) => change.value)).toEqual(['x', null]);
  });

  // Guards against changes lost silently when the store dropped the history.
  it('reports a gap after compaction', async () => {
    await put('a/1', 'x', 0);
    await put('a/2', 'y', 0);
    server.dropHistory();
    const seen = watchAll();
    store.watch('a/', Revision.parse(2), seen);
    await settle(() => expect(seen.ends).toEqual(['gap']));
  });

  // Guards against a watch whose connection is open and delivers nothing any more.
  it('ends a silent watch and leaves other watches and calls alone', async () => {
    const silent = watchAll();
    store.watch('a/', Revision.parse(1), silent);
    await settle(() => expect(silent.progress.length).toBeGreaterThan(0));
    server.setWatchesSilent();
    const other = watchAll();
    store.watch('a/', Revision.parse(1), other);
    await settle(() => expect(silent.ends).toEqual(['failed']));
    expect(other.ends).toEqual([]);
    await put('a/1', 'x', 0);
    await settle(() => expect(other.changes.length).toBe(1));
  });

  // Guards against a process that wakes after a pause and takes buffered progress for fresh.
  it('ends a watch whose process was paused', async () => {
    const paused = new ManualClock();
    const second = new EtcdStore({
      address: server.address,
      clock: paused,
      silenceMs: 400,
      progressIntervalMs: 50,
    });
    const seen = watchAll();
    second.watch('a/', Revision.parse(1), seen);
    await settle(() => expect(seen.progress.length).toBeGreaterThan(0));
    paused.advance(60_000);
    const before = seen.progress.length;
    await settle(() => expect(seen.ends).toEqual(['failed']));
    expect(seen.progress.length).toBe(before);
    second.close();
  });

  // Guards against a holder that renews a lease that is gone, and against keys that outlive it.
  it('expires leases with their keys', async () => {
    const { lease } = (await store.grantLease(900)).unwrap();
    await store.commit({ conditions: [], writes: [{ key: 'held', value: 'x', lease }] });
    expect((await store.renewLease(lease)).unwrap().ttlMs).toBe(1000);
    await settle(async () => {
      expect((await store.read('held')).unwrap().record).toBeNull();
    });
    expect((await store.renewLease(lease)).val).toMatchObject({ kind: 'stale_epoch' });
  });
});
