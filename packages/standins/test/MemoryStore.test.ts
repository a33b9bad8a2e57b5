import { describe, expect, it } from 'vitest';
import { ManualClock, SeededRandom, type Revision } from '@limpetbay/core';
import { MemoryStore } from '@limpetbay/standins';

function buildStore() {
  const clock = new ManualClock();
  return { clock, store: new MemoryStore(clock, new SeededRandom(1)) };
}

const absent = 0 as const;

describe('MemoryStore', () => {
  // Guards against a stand-in that lets two creators of one key both succeed.
  it('applies a transaction only if every condition holds', async () => {
    const { store } = buildStore();
    const create = {
      conditions: [{ key: 'a', revision: absent }],
      writes: [{ key: 'a', value: '1' }],
    };
    expect((await store.commit(create)).unwrap().committed).toBe(true);
    const second = (await store.commit(create)).unwrap();
    expect(second.committed).toBe(false);
    expect(second.current).toEqual([{ key: 'a', value: '1', revision: 2 }]);
  });

  // Guards against a stand-in that accepts what etcd refuses.
  it('refuses a transaction that writes a key twice', async () => {
    const { store } = buildStore();
    const write = { key: 'a', value: '1' };
    const answer = await store.commit({ conditions: [], writes: [write, write] });
    expect(answer.err && answer.val.kind).toBe('bad_request');
  });

  // Guards against a lost answer that takes no effect, which would hide the fault to be tested.
  it('applies a write whose answer is lost', async () => {
    const { store } = buildStore();
    store.dropAnswers(1);
    const answer = await store.commit({ conditions: [], writes: [{ key: 'a', value: '1' }] });
    expect(answer.err && answer.val.kind).toBe('outcome_unknown');
    expect(store.listRecords()).toHaveLength(1);
  });

  // Guards against keys that outlive their lease, and leases that ignore the injected clock.
  it('deletes the keys of an expired lease and tells watches', async () => {
    const { clock, store } = buildStore();
    const { lease } = (await store.grantLease(1500)).unwrap();
    await store.commit({ conditions: [], writes: [{ key: 'a', value: '1', lease }] });
    const seen: (string | null)[] = [];
    store.watch('a', 1 as Revision, {
      onChange: (change) => seen.push(change.value),
      onProgress: () => {},
      onEnd: () => {},
    });
    clock.advance(1999);
    store.tick();
    expect(seen).toEqual(['1']);
    clock.advance(1);
    store.tick();
    expect(seen).toEqual(['1', null]);
  });
});
