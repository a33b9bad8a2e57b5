import {
  Err,
  Ok,
  type ClaimOwner,
  type CommitResult,
  type Failure,
  type Result,
  type Revision,
  type Store,
  type StoreRecord,
  type StoreTransaction,
} from '@limpetbay/core';
import type { SimProcess } from './SimProcess.js';
import type { Variant } from './Variant.js';

/** The store as one life of a process sees it: answers wait for its pauses and die with it. */
export class PortStore implements Store {
  readonly #store: Store;

  readonly #process: SimProcess;

  readonly #life: number;

  readonly #variant: Variant;

  readonly #hasEnded: (owner: ClaimOwner) => boolean;

  constructor(
    store: Store,
    process: SimProcess,
    variant: Variant,
    hasEnded: (owner: ClaimOwner) => boolean,
  ) {
    this.#store = store;
    this.#process = process;
    this.#life = process.getLife();
    this.#variant = variant;
    this.#hasEnded = hasEnded;
  }

  read(key: string) {
    return this.#forward(this.#store.read(key));
  }

  readPrefix(prefix: string) {
    return this.#forward(this.#store.readPrefix(prefix));
  }

  commit(transaction: StoreTransaction) {
    const answer = this.#store.commit(this.#change(transaction));
    return this.#forward(answer.then((result) => this.#distort(result)));
  }

  watch(): () => void {
    throw new Error('claims use no watch');
  }

  grantLease(ttlMs: number) {
    return this.#forward(this.#store.grantLease(ttlMs));
  }

  renewLease(lease: string) {
    return this.#forward(this.#store.renewLease(lease));
  }

  revokeLease(lease: string) {
    return this.#forward(this.#store.revokeLease(lease));
  }

  #forward<T>(answer: Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      void answer.then((value) => this.#process.run(this.#life, () => resolve(value)));
    });
  }

  /** Applies the variants that concern writes. */
  #change({ conditions, writes }: StoreTransaction): StoreTransaction {
    if (this.#variant !== 'delete-on-release') return { conditions, writes };
    const changed = writes.map((write) =>
      write.value?.includes('"state":"released"') ? { key: write.key, value: null } : write,
    );
    return { conditions, writes: changed };
  }

  /** Applies the variants that concern answers. */
  #distort(answer: Result<CommitResult, Failure>): Result<CommitResult, Failure> {
    if (answer.err) {
      if (answer.val.kind !== 'outcome_unknown') return answer;
      if (this.#variant === 'lost-answer-as-failure') {
        return Err({ kind: 'store_unavailable', message: '' });
      }
      if (this.#variant !== 'lost-answer-as-success') return answer;
      return Ok({ committed: true, revision: 1 as Revision, current: [] });
    }
    if (this.#variant !== 'gone-owner-as-free') return answer;
    return Ok({ ...answer.val, current: answer.val.current.map((item) => this.#free(item)) });
  }

  #free(stored: StoreRecord): StoreRecord {
    const record = JSON.parse(stored.value) as { state: string; owner: ClaimOwner };
    if (record.state !== 'claimed' || !this.#hasEnded(record.owner)) return stored;
    return { ...stored, value: JSON.stringify({ ...record, state: 'released' }) };
  }
}
