import {
  Err,
  Ok,
  type ClaimOwner,
  type CommitResult,
  type Era,
  type Failure,
  type Result,
  type Revision,
  type Store,
  type StoreRecord,
  type StoreTransaction,
} from '@limpetbay/core';
import type { SimProcess } from './SimProcess.js';
import type { Variant } from './Variant.js';

/**
 * The store as one incarnation of a process sees it: answers wait while the process is paused and are
 * dropped when it ends.
 */
export class ProcessStore implements Store {
  readonly #store: Store;

  readonly #process: SimProcess;

  readonly #processIncarnation: number;

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
    this.#processIncarnation = process.getIncarnation();
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
    const answer = this.#store.commit(this.#adjustTransaction(transaction));
    return this.#forward(answer.then((result) => this.#adjustResult(result)));
  }

  watch(): () => void {
    throw new Error('ProcessStore supports no watches: the claim ledger uses none');
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
      void answer.then((value) =>
        this.#process.run(this.#processIncarnation, () => resolve(value)),
      );
    });
  }

  /** Breaks the rules on writes for the variants that concern them. */
  #adjustTransaction({ conditions, writes }: StoreTransaction): StoreTransaction {
    if (this.#variant !== 'delete-on-release') return { conditions, writes };
    const changed = writes.map((write) =>
      write.value?.includes('"state":"released"') ? { key: write.key, value: null } : write,
    );
    return { conditions, writes: changed };
  }

  /** Breaks the rules on answers of the store for the variants that concern them. */
  #adjustResult(answer: Result<CommitResult, Failure>): Result<CommitResult, Failure> {
    if (answer.err) {
      if (answer.val.kind !== 'outcome_unknown') return answer;
      if (this.#variant === 'unanswered-write-as-failure') {
        return Err({ kind: 'store_unavailable', message: '' });
      }
      if (this.#variant !== 'unanswered-write-as-success') return answer;
      return Ok({ committed: true, era: '1' as Era, revision: 1 as Revision, current: [] });
    }
    if (this.#variant !== 'departed-owner-as-free') return answer;
    return Ok({
      ...answer.val,
      current: answer.val.current.map((item) => this.#convertToReleased(item)),
    });
  }

  #convertToReleased(stored: StoreRecord): StoreRecord {
    const record = JSON.parse(stored.value) as { state: string; owner: ClaimOwner };
    if (record.state !== 'claimed' || !this.#hasEnded(record.owner)) return stored;
    return { ...stored, value: JSON.stringify({ ...record, state: 'released' }) };
  }
}
