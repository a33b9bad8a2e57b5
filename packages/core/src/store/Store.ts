import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { Revision } from '../ids/Revision.js';
import type { CommitResult } from './CommitResult.js';
import type { StoreRecord } from './StoreRecord.js';
import type { StoreTransaction } from './StoreTransaction.js';
import type { StoreWatchListener } from './StoreWatchListener.js';

/**
 * The platform's key-value store. Each method counts as one call against its rate limits; an open
 * watch counts as one call. Failures: `store_unavailable` (certainly no effect) or
 * `outcome_unknown` (a write may have taken effect).
 */
export interface Store {
  /** Reads one key; `record` is null if the key is absent. */
  read(key: string): Promise<Result<{ record: StoreRecord | null; revision: Revision }, Failure>>;
  /** Reads all keys that start with `prefix`, in key order. */
  readPrefix(
    prefix: string,
  ): Promise<Result<{ records: StoreRecord[]; revision: Revision }, Failure>>;
  /** Applies a transaction. */
  commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>>;
  /** Watches all keys that start with `prefix`, from `fromRevision` on. Returns a stop function. */
  watch(prefix: string, fromRevision: Revision, listener: StoreWatchListener): () => void;
  /** Grants a lease. @param ttlMs time to live, milliseconds, rounded up to whole seconds */
  grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>>;
  /** Renews a lease once; fails with `stale_epoch` if it has expired. */
  renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(lease: string): Promise<Result<void, Failure>>;
}
