import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  Era,
  ManualClock,
  Revision,
  type Clock,
  type StorePosition,
  type StoreRecord,
  type StoreWatchListener,
} from '@limpetbay/core';
import { EtcdStore } from '@limpetbay/platform';
import { RealClock } from '@limpetbay/runtime';
import { StoreServer } from '@limpetbay/standins';

interface WatchRecorder extends StoreWatchListener {
  readonly changes: (Omit<StoreRecord, 'value'> & { value: string | null })[];
  readonly progress: Revision[];
  readonly ends: string[];
}

/** Waits until the check passes; the timeout allows for slow I/O on a busy machine. */
function waitForCheck(check: () => void | Promise<void>): Promise<void> {
  return vi.waitFor(check, 10_000);
}

function createRecorder(): WatchRecorder {
  const changes: WatchRecorder['changes'] = [];
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

/** A position in the history of a store server that was not restored. */
function buildPosition(revision: number): StorePosition {
  return { era: Era.parse('1'), revision: Revision.parse(revision) };
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
      progressTimeoutMs: 400,
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

  // Guards against two concurrent writers that both see their commit succeed.
  it('applies one of two concurrent commits and returns the current record to the other', async () => {
    const results = await Promise.all([put('k', 'one', 0), put('k', 'two', 0)]);
    const committed = results.map((result) => result.unwrap().committed);
    expect(committed.sort()).toEqual([false, true]);
    const conflicting = results
      .map((result) => result.unwrap())
      .find((result) => !result.committed);
    expect(conflicting?.current[0]).toMatchObject({ key: 'k' });
    expect(server.getCallCounts()).toMatchObject({ Txn: 2 });
  });

  // Guards against reporting that a write had no effect although the store applied it.
  it('fails with outcome_unknown if the answer to a write is lost', async () => {
    server.dropAnswers(1);
    const result = await put('k', 'v', 0);
    expect(result.val).toMatchObject({ kind: 'outcome_unknown' });
    const readBack = (await store.read('k')).unwrap();
    expect(readBack.record?.value).toBe('v');
  });

  // Guards against outcome_unknown for a write that certainly had no effect: the store rejected it,
  // or it was never sent.
  it('fails with store_unavailable in an outage and while the store is down', async () => {
    await put('k', 'v', 0);
    server.setOutage(true);
    expect((await put('k', 'w', 2)).val).toMatchObject({ kind: 'store_unavailable' });
    server.setOutage(false);
    const port = Number(server.address.split(':')[1]);
    await server.stop();
    await waitForCheck(async () => {
      expect((await put('k', 'w', 2)).val).toMatchObject({ kind: 'store_unavailable' });
    });
    await server.start(port);
    await waitForCheck(async () => {
      expect((await store.read('k')).unwrap().record?.value).toBe('v');
    });
  });

  // Guards against a watch that misses the changes between a read and the start of the watch.
  it('resumes a watch from a revision and confirms progress', async () => {
    const { era, revision } = (await store.readPrefix('a/')).unwrap();
    await put('a/1', 'x', 0);
    await put('b/1', 'other prefix', 0);
    const recorder = createRecorder();
    store.watch('a/', { era, revision: Revision.parse(revision + 1) }, recorder);
    await waitForCheck(() => expect(recorder.progress.length).toBeGreaterThan(1));
    server.put('a/1', null);
    await waitForCheck(() => expect(recorder.changes.length).toBe(2));
    expect(recorder.changes.map((change) => change.value)).toEqual(['x', null]);
  });

  // Guards against unnoticed loss of changes after the store has compacted its history.
  it('reports a gap after compaction', async () => {
    await put('a/1', 'x', 0);
    await put('a/2', 'y', 0);
    server.dropHistory();
    const recorder = createRecorder();
    store.watch('a/', buildPosition(2), recorder);
    await waitForCheck(() => expect(recorder.ends).toEqual(['gap']));
  });

  // Guards against a cluster that was restored from a backup and is followed as the one before.
  it('ends a watch and a transaction whose cluster was restored', async () => {
    const { era } = (await store.read('k')).unwrap();
    server.state.setClusterId(2);
    const recorder = createRecorder();
    store.watch('a/', { era, revision: Revision.parse(1) }, recorder);
    await waitForCheck(() => expect(recorder.ends).toEqual(['restored']));
    const conditions = [{ key: 'k', revision: 0 as const }];
    const committed = await store.commit({ era, conditions, writes: [{ key: 'k', value: 'v' }] });
    expect(committed.val).toMatchObject({ kind: 'outcome_unknown' });
    expect((await store.read('k')).unwrap().era).toBe('2');
  });

  // Guards against a watch whose connection stays open but no longer delivers anything.
  it('ends a stalled watch and leaves other watches and calls unaffected', async () => {
    const stalled = createRecorder();
    store.watch('a/', buildPosition(1), stalled);
    await waitForCheck(() => expect(stalled.progress.length).toBeGreaterThan(0));
    server.setWatchesStalled();
    const other = createRecorder();
    store.watch('a/', buildPosition(1), other);
    await waitForCheck(() => expect(stalled.ends).toEqual(['failed']));
    expect(other.ends).toEqual([]);
    await put('a/1', 'x', 0);
    await waitForCheck(() => expect(other.changes.length).toBe(1));
  });

  // Guards against a process that resumes after a pause and takes buffered progress messages for
  // current ones.
  it('ends a watch whose process was paused', async () => {
    const paused = new ManualClock();
    const secondStore = new EtcdStore({
      address: server.address,
      clock: paused,
      progressTimeoutMs: 400,
      progressIntervalMs: 50,
    });
    const recorder = createRecorder();
    secondStore.watch('a/', buildPosition(1), recorder);
    await waitForCheck(() => expect(recorder.progress.length).toBeGreaterThan(0));
    paused.advance(60_000);
    const before = recorder.progress.length;
    await waitForCheck(() => expect(recorder.ends).toEqual(['failed']));
    expect(recorder.progress.length).toBe(before);
    secondStore.close();
  });

  // Guards against renewing an expired lease, and against keys that outlive their lease.
  it('expires leases with their keys', async () => {
    const { lease } = (await store.grantLease(900)).unwrap();
    await store.commit({ conditions: [], writes: [{ key: 'held', value: 'x', lease }] });
    expect((await store.renewLease(lease)).unwrap().ttlMs).toBe(1000);
    await waitForCheck(async () => {
      expect((await store.read('held')).unwrap().record).toBeNull();
    });
    expect((await store.renewLease(lease)).val).toMatchObject({ kind: 'stale_epoch' });
  });
});
