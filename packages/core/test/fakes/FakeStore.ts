import { Era, Ok, fail } from '@limpetbay/core';
import type {
  Clock,
  CommitResult,
  Failure,
  Result,
  Revision,
  Store,
  StorePosition,
  StoreRecord,
  StoreTransaction,
} from '@limpetbay/core';

type StoredRecord = StoreRecord & { readonly lease: string };

/**
 * An in-memory store with leases that can be down, leave reads unanswered, and drop answers of
 * commits.
 */
export class FakeStore implements Store {
  isDown = false;

  /** Whether reads of a prefix are never answered. */
  isUnresponsive = false;

  /** Number of next commits whose answer is dropped although they take effect. */
  answersToDrop = 0;

  #revision = 1;

  #grantedLeases = 0;

  readonly #records = new Map<string, StoredRecord>();

  #era = 1;

  readonly #leaseExpiries = new Map<
    string,
    { readonly expiresMs: number; readonly ttlMs: number }
  >();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes a copy from which the store can be restored. */
  takeCopy(): { readonly revision: number; readonly records: readonly StoredRecord[] } {
    return { revision: this.#revision, records: [...this.#records.values()] };
  }

  /** Restores a copy: the store begins another era, and its leases are lost. */
  restore({ revision, records }: ReturnType<FakeStore['takeCopy']>): void {
    this.#era += 1;
    this.#revision = revision;
    this.#leaseExpiries.clear();
    this.#records.clear();
    for (const record of records) {
      if (record.lease === '') this.#records.set(record.key, record);
    }
  }

  async read(
    key: string,
  ): Promise<Result<{ readonly record: StoreRecord | null } & StorePosition, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    this.#removeExpiredLeases();
    const record = this.#records.get(key) ?? null;
    return Ok({ record, ...this.#getPosition() });
  }

  async readPrefix(
    prefix: string,
  ): Promise<Result<{ readonly records: StoreRecord[] } & StorePosition, Failure>> {
    if (this.isUnresponsive) await new Promise(() => {});
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    this.#removeExpiredLeases();
    const records = [...this.#records.values()].filter(({ key }) => key.startsWith(prefix));
    return Ok({ records, ...this.#getPosition() });
  }

  async commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    if (transaction.era !== undefined && transaction.era !== this.#getPosition().era) {
      return fail('stale_epoch', 'the fake store was restored since');
    }
    this.#removeExpiredLeases();
    const current: StoreRecord[] = [];
    let committed = true;
    for (const { key, revision } of transaction.conditions) {
      const record = this.#records.get(key);
      if (record !== undefined) current.push(record);
      if ((record?.revision ?? 0) !== revision) committed = false;
    }
    if (committed) {
      this.#revision += 1;
      for (const { key, value, lease } of transaction.writes) {
        const revision = this.#revision as Revision;
        if (value === null) this.#records.delete(key);
        else this.#records.set(key, { key, value, revision, lease: lease ?? '' });
      }
    }
    if (this.answersToDrop > 0) {
      this.answersToDrop -= 1;
      return fail('outcome_unknown', 'the answer of the commit was dropped');
    }
    return Ok({ committed, ...this.#getPosition(), current });
  }

  watch(): () => void {
    return () => undefined;
  }

  async grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    this.#grantedLeases += 1;
    const lease = String(this.#grantedLeases);
    this.#leaseExpiries.set(lease, { expiresMs: this.#clock.getNow() + ttlMs, ttlMs });
    return Ok({ lease, ttlMs });
  }

  async renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    this.#removeExpiredLeases();
    const expiry = this.#leaseExpiries.get(lease);
    if (expiry === undefined) return fail('stale_epoch', 'the lease has ended');
    this.#leaseExpiries.set(lease, { ...expiry, expiresMs: this.#clock.getNow() + expiry.ttlMs });
    return Ok({ ttlMs: expiry.ttlMs });
  }

  async revokeLease(lease: string): Promise<Result<void, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'the fake store is down');
    this.#leaseExpiries.set(lease, { expiresMs: -1, ttlMs: 0 });
    this.#removeExpiredLeases();
    return Ok(undefined);
  }

  #getPosition(): StorePosition {
    return { era: Era.parse(String(this.#era)), revision: this.#revision as Revision };
  }

  #removeExpiredLeases(): void {
    for (const [lease, { expiresMs }] of this.#leaseExpiries) {
      if (this.#clock.getNow() < expiresMs) continue;
      this.#leaseExpiries.delete(lease);
      for (const [key, record] of this.#records) {
        if (record.lease === lease) this.#records.delete(key);
      }
    }
  }
}
