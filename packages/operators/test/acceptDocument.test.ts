import { beforeEach, describe, expect, it } from 'vitest';
import {
  ManualClock,
  Ok,
  SeededRandom,
  ServiceDocument,
  fail,
  type CommitResult,
  type Failure,
  type Result,
  type Store,
} from '@limpetbay/core';
import { acceptDocument } from '@limpetbay/operators';
import { MemoryStore } from '@limpetbay/standins';

function createDocument(queue: number): ServiceDocument {
  return ServiceDocument.parse({
    service: { name: 'orders', kind: 'plain' },
    zones: { in: ['a'] },
    targets: { include: ['orders-*'] },
    ramp: {},
    limits: { queue },
    keys: {},
  });
}

describe('acceptDocument', () => {
  let store: MemoryStore;
  let delaysMs: number[];
  const sleep = async (delayMs: number): Promise<void> => {
    delaysMs.push(delayMs);
  };
  const getRevision = async () => (await store.read('')).unwrap().revision;

  beforeEach(() => {
    delaysMs = [];
    store = new MemoryStore(new ManualClock(), new SeededRandom(1));
  });

  const accept = (
    queue: number,
    operationId: string,
    targetStore: Store = store,
    base: number | null = null,
    knownRevision = 0,
  ) =>
    acceptDocument({
      store: targetStore,
      document: createDocument(queue),
      operationId,
      baseRevision: base,
      knownRevision,
      sleep,
    });

  // Guards against reporting success to both of two operators who accept at the same time.
  it('accepts one of two concurrent documents and reports both changes to the other operator', async () => {
    await accept(1, 'first');
    const results = await Promise.all([accept(2, 'left'), accept(3, 'right')]);
    const [loser, ...others] = results.filter((result) => result.err);
    expect(others).toEqual([]);
    expect(store.getCounts().writes).toBe(3);
    const { kind, message } = loser?.val as Failure;
    expect(kind).toBe('conflict');
    const winnerQueue = results[0]?.ok ? 2 : 3;
    expect(message).toContain(`[limits] queue: 1 -> ${winnerQueue}`);
    expect(message).toContain(`[limits] queue: ${winnerQueue} -> ${5 - winnerQueue}`);
  });

  // Guards against an unanswered write that is reported as a failure or written twice.
  it('recognizes an unanswered write by its operation id', async () => {
    store.dropAnswers(2);
    const result = (await accept(1, 'mine')).unwrap();
    expect(result.revision).toBe(2);
    expect(await getRevision()).toBe(2);
    expect(store.getCounts().writes).toBe(3);
    expect(delaysMs).toEqual([500, 1000]);
  });

  // Guards against reporting "not accepted" for a document that was accepted and then replaced.
  it('recognizes its own accept after a later accept replaced it', async () => {
    const [key, commit] = ['limpetbay/services/orders', store.commit.bind(store)];
    const racingStore: Store = Object.create(store, {
      read: { value: (name: string) => store.read(name) },
      commit: {
        value: async (
          transaction: Parameters<Store['commit']>[0],
        ): Promise<Result<CommitResult, Failure>> => {
          const answer = await commit(transaction);
          if (!answer.unwrap().committed) return answer;
          (await accept(9, 'later')).unwrap();
          return fail('outcome_unknown', 'lost');
        },
      },
    }) as Store;
    const result = await accept(1, 'mine', racingStore);
    expect(result.val).toMatchObject({ kind: 'conflict' });
    expect((result.val as Failure).message).toContain('your document was accepted, then replaced');
    expect((await store.read(key)).unwrap().record?.value).toContain('later');
  });

  // Guards against reporting that nothing was written while an earlier attempt may still be written.
  it('returns store_unavailable only when certainly nothing was written', async () => {
    store.setFaults({ outage: 'down' });
    expect((await accept(1, 'mine')).val).toMatchObject({ kind: 'store_unavailable' });
    store.setFaults({ outage: 'none' });
    const answers: Result<CommitResult, Failure>[] = [fail('outcome_unknown', 'lost')];
    const failingStore: Store = Object.create(store, {
      read: { value: async () => Ok({ record: null, revision: 1 }) },
      commit: { value: async () => answers.shift() ?? fail('store_unavailable', 'down') },
    }) as Store;
    expect((await accept(1, 'mine', failingStore)).val).toMatchObject({ kind: 'outcome_unknown' });
  });

  // Guards against documents that processes ignore because they have later ones, which the store has
  // lost.
  it('accepts a document above the revision that processes have, and the next ones above it', async () => {
    await accept(1, 'first');
    expect((await accept(1, 'again', store, null, 30)).unwrap()).toMatchObject({
      revision: 31,
      isUnchanged: false,
    });
    expect((await accept(2, 'next')).unwrap().revision).toBe(32);
    expect((await accept(3, 'based', store, 32)).unwrap().revision).toBe(33);
    expect(await getRevision()).toBe(5);
  });

  // Guards against an edit of an outdated copy that silently reverts the change of another operator.
  it('rejects a document based on an outdated revision', async () => {
    await accept(1, 'first');
    await accept(2, 'second');
    expect((await accept(3, 'third', store, 2)).val).toMatchObject({ kind: 'conflict' });
    expect((await accept(3, 'third', store, 3)).ok).toBe(true);
  });
});
