import { describe, expect, it } from 'vitest';
import { ManualClock, SeededRandom, Revision } from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

function buildStore() {
  const clock = new ManualClock();
  return { clock, store: new MemoryStore(clock, new SeededRandom(1)) };
}

const ABSENT_REVISION = 0 as const;

describe('MemoryStore', () => {
  // Guards against a store in which two transactions that create the same key both succeed.
  it('applies a transaction only if every condition holds', async () => {
    const { store } = buildStore();
    const create = {
      conditions: [{ key: 'a', revision: ABSENT_REVISION }],
      writes: [{ key: 'a', value: '1' }],
    };
    expect((await store.commit(create)).unwrap().committed).toBe(true);
    const second = (await store.commit(create)).unwrap();
    expect(second.committed).toBe(false);
    expect(second.current).toEqual([{ key: 'a', value: '1', revision: 2 }]);
  });

  // Guards against a store that accepts a transaction which etcd refuses.
  it('refuses a transaction that writes a key twice', async () => {
    const { store } = buildStore();
    const write = { key: 'a', value: '1' };
    const answer = await store.commit({ conditions: [], writes: [write, write] });
    expect(answer.err && answer.val.kind).toBe('bad_request');
  });

  // Guards against a dropped answer whose write is dropped too: tests of unknown outcomes would pass
  // without the fault.
  it('applies a write whose answer is dropped', async () => {
    const { store } = buildStore();
    store.dropAnswers(1);
    const answer = await store.commit({ conditions: [], writes: [{ key: 'a', value: '1' }] });
    expect(answer.err && answer.val.kind).toBe('outcome_unknown');
    expect(store.listRecords()).toHaveLength(1);
  });

  // Guards against keys that remain after their lease expired, and leases that use another clock.
  it('deletes the keys of an expired lease and notifies watches', async () => {
    const { clock, store } = buildStore();
    const { lease } = (await store.grantLease(1500)).unwrap();
    await store.commit({ conditions: [], writes: [{ key: 'a', value: '1', lease }] });
    const receivedValues: (string | null)[] = [];
    const { era } = (await store.read('a')).unwrap();
    store.watch(
      'a',
      { era, revision: Revision.parse(1) },
      {
        onChange: (change) => receivedValues.push(change.value),
        onProgress: () => {},
        onEnd: () => {},
      },
    );
    clock.advance(1999);
    store.tick();
    expect(receivedValues).toEqual(['1']);
    clock.advance(1);
    store.tick();
    expect(receivedValues).toEqual(['1', null]);
  });
});
