import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  Ok,
  ServiceDocument,
  fail,
  type CommitResult,
  type Failure,
  type Result,
  type Store,
} from '@limpetbay/core';
import { acceptDocument } from '@limpetbay/operators';
import { EtcdStore } from '@limpetbay/platform';
import { RealClock } from '@limpetbay/runtime';
import { StoreServer } from '@limpetbay/standins';

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
  const clock = new RealClock();
  let server: StoreServer;
  let store: EtcdStore;
  const sleep = async (): Promise<void> => {};

  beforeEach(async () => {
    server = new StoreServer({ clock });
    store = new EtcdStore({ address: await server.start(), clock, timeoutMs: 200 });
  });

  afterEach(async () => {
    store.close();
    await server.stop();
  });

  const accept = (
    queue: number,
    operationId: string,
    on: Store = store,
    base: number | null = null,
  ) =>
    acceptDocument({
      store: on,
      document: createDocument(queue),
      operationId,
      baseRevision: base,
      sleep,
    });

  // Guards against two operators who both believe that their document is in force.
  it('lets one of two racing operators win and shows both sides to the other', async () => {
    await accept(1, 'first');
    const results = await Promise.all([accept(2, 'left'), accept(3, 'right')]);
    const [loser, ...others] = results.filter((result) => result.err);
    expect(others).toEqual([]);
    const { kind, message } = loser?.val as Failure;
    expect(kind).toBe('conflict');
    const won = results[0]?.ok ? 2 : 3;
    expect(message).toContain(`[limits] queue: 1 -> ${won}`);
    expect(message).toContain(`[limits] queue: ${won} -> ${5 - won}`);
  });

  // Guards against a lost answer that is reported as a failure or that writes twice.
  it('settles a lost answer by the operation id', async () => {
    server.dropAnswers(2);
    const result = (await accept(1, 'mine')).unwrap();
    expect(result.revision).toBe(2);
    expect(server.state.getRevision()).toBe(2);
  });

  // Guards against telling an operator "not accepted" when it was, and was then replaced.
  it('recognises its own accept behind a later one', async () => {
    const [key, commit] = ['limpetbay/services/orders', store.commit.bind(store)];
    const racing: Store = Object.create(store, {
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
    const result = await accept(1, 'mine', racing);
    expect(result.val).toMatchObject({ kind: 'conflict' });
    expect((result.val as Failure).message).toContain('your document was accepted, then replaced');
    expect((await store.read(key)).unwrap().record?.value).toContain('later');
  });

  // Guards against "nothing was written" when an earlier attempt may still take effect.
  it('answers store_unavailable only when surely nothing was written', async () => {
    server.setOutage(true);
    expect((await accept(1, 'mine')).val).toMatchObject({ kind: 'store_unavailable' });
    server.setOutage(false);
    const answers: Result<CommitResult, Failure>[] = [fail('outcome_unknown', 'lost')];
    const dying: Store = Object.create(store, {
      read: { value: async () => Ok({ record: null, revision: 1 }) },
      commit: { value: async () => answers.shift() ?? fail('store_unavailable', 'down') },
    }) as Store;
    expect((await accept(1, 'mine', dying)).val).toMatchObject({ kind: 'outcome_unknown' });
  });

  // Guards against an edit of an old copy that silently undoes another operator's change.
  it('refuses a document that starts from another revision', async () => {
    await accept(1, 'first');
    await accept(2, 'second');
    expect((await accept(3, 'third', store, 2)).val).toMatchObject({ kind: 'conflict' });
    expect((await accept(3, 'third', store, 3)).ok).toBe(true);
  });
});
