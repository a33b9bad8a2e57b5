import { Ok, fail } from '@limpetbay/core';
import type {
  Clock,
  CommitResult,
  Failure,
  Result,
  Revision,
  Store,
  StoreRecord,
  StoreTransaction,
} from '@limpetbay/core';

/** A store in memory that can be down, lose the answers of commits, and end leases. */
export class FakeStore implements Store {
  isDown = false;

  /** Whether reads get no answer at all. */
  isSilent = false;

  /** Commits that take effect although their answer is lost. */
  lostAnswers = 0;

  #revision = 1;

  #leases = 0;

  readonly #records = new Map<string, StoreRecord & { readonly lease: string }>();

  readonly #leaseEnds = new Map<string, { readonly atMs: number; readonly ttlMs: number }>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  async read(
    key: string,
  ): Promise<Result<{ record: StoreRecord | null; revision: Revision }, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#endLeases();
    const record = this.#records.get(key) ?? null;
    return Ok({ record, revision: this.#revision as Revision });
  }

  async readPrefix(
    prefix: string,
  ): Promise<Result<{ records: StoreRecord[]; revision: Revision }, Failure>> {
    if (this.isSilent) await new Promise(() => {});
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#endLeases();
    const records = [...this.#records.values()].filter(({ key }) => key.startsWith(prefix));
    return Ok({ records, revision: this.#revision as Revision });
  }

  async commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#endLeases();
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
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return fail('outcome_unknown', 'answer lost');
    }
    return Ok({ committed, revision: this.#revision as Revision, current });
  }

  watch(): () => void {
    return () => undefined;
  }

  async grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#leases += 1;
    const lease = String(this.#leases);
    this.#leaseEnds.set(lease, { atMs: this.#clock.getNow() + ttlMs, ttlMs });
    return Ok({ lease, ttlMs });
  }

  async renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#endLeases();
    const known = this.#leaseEnds.get(lease);
    if (known === undefined) return fail('stale_epoch', 'lease ended');
    this.#leaseEnds.set(lease, { ...known, atMs: this.#clock.getNow() + known.ttlMs });
    return Ok({ ttlMs: known.ttlMs });
  }

  async revokeLease(lease: string): Promise<Result<void, Failure>> {
    if (this.isDown) return fail('store_unavailable', 'down');
    this.#leaseEnds.set(lease, { atMs: -1, ttlMs: 0 });
    this.#endLeases();
    return Ok(undefined);
  }

  #endLeases(): void {
    for (const [lease, { atMs }] of this.#leaseEnds) {
      if (this.#clock.getNow() < atMs) continue;
      this.#leaseEnds.delete(lease);
      for (const [key, record] of this.#records) {
        if (record.lease === lease) this.#records.delete(key);
      }
    }
  }
}
