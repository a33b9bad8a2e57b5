import type {
  CommitResult,
  Failure,
  Result,
  Store,
  StorePosition,
  StoreRecord,
  StoreTransaction,
  StoreWatchListener,
} from '@limpetbay/core';
import type { MetricRegistry } from '@limpetbay/runtime';
import type { StoreContact } from './StoreContact.js';

/** Failures of calls that the store did not answer or did not accept. */
const UNANSWERED_KINDS: ReadonlySet<Failure['kind']> = new Set([
  'store_unavailable',
  'outcome_unknown',
  'deadline_exceeded',
]);

/** Passes calls on to a store and reports which of them it answers. */
export class ObservedStore implements Store {
  readonly #store: Store;

  readonly #contact: StoreContact;

  readonly #metrics: MetricRegistry;

  constructor(store: Store, contact: StoreContact, metrics: MetricRegistry) {
    this.#store = store;
    this.#contact = contact;
    this.#metrics = metrics;
  }

  read(
    key: string,
  ): Promise<Result<{ readonly record: StoreRecord | null } & StorePosition, Failure>> {
    return this.#observe(this.#store.read(key));
  }

  readPrefix(
    prefix: string,
  ): Promise<Result<{ readonly records: StoreRecord[] } & StorePosition, Failure>> {
    return this.#observe(this.#store.readPrefix(prefix));
  }

  commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>> {
    return this.#observe(this.#store.commit(transaction));
  }

  watch(prefix: string, from: StorePosition, listener: StoreWatchListener): () => void {
    return this.#store.watch(prefix, from, {
      onChange: (change) => {
        this.#contact.handleAnswer();
        listener.onChange(change);
      },
      onProgress: (revision) => {
        this.#contact.handleAnswer();
        listener.onProgress(revision);
      },
      onEnd: (reason) => {
        this.#metrics.increase(`limpetbay_store_watch_ends_total{reason="${reason}"}`);
        listener.onEnd(reason);
      },
    });
  }

  grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>> {
    return this.#observe(this.#store.grantLease(ttlMs));
  }

  renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>> {
    return this.#observe(this.#store.renewLease(lease));
  }

  revokeLease(lease: string): Promise<Result<void, Failure>> {
    return this.#observe(this.#store.revokeLease(lease));
  }

  async #observe<T>(call: Promise<Result<T, Failure>>): Promise<Result<T, Failure>> {
    const result = await call;
    if (result.ok) this.#contact.handleAnswer();
    // Other failures may be found without a call.
    else if (UNANSWERED_KINDS.has(result.val.kind)) this.#contact.handleFailure(result.val.message);
    return result;
  }
}
