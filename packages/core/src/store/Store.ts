import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { CommitResult } from './CommitResult.js';
import type { StorePosition } from './StorePosition.js';
import type { StoreRecord } from './StoreRecord.js';
import type { StoreTransaction } from './StoreTransaction.js';
import type { StoreWatchListener } from './StoreWatchListener.js';

/**
 * The platform's key-value store. Each method counts as one call against its rate limits; an open
 * watch counts as one call. Failures: `store_unavailable` (certainly no effect) or
 * `outcome_unknown` (a write may have taken effect).
 *
 * A store that is restored from a copy begins another era: watches of the earlier one end, its
 * leases have ended, and its revisions mean nothing any more.
 */
export interface Store {
  /** Reads one key; `record` is null if the key is absent. */
  read(
    key: string,
  ): Promise<Result<{ readonly record: StoreRecord | null } & StorePosition, Failure>>;
  /** Reads all keys that start with `prefix`, in key order. */
  readPrefix(
    prefix: string,
  ): Promise<Result<{ readonly records: StoreRecord[] } & StorePosition, Failure>>;
  /** Applies a transaction; fails with `stale_epoch`, without effect, if its era or lease is over. */
  commit(transaction: StoreTransaction): Promise<Result<CommitResult, Failure>>;
  /** Watches all keys that start with `prefix`, from a revision on. Returns a stop function. */
  watch(prefix: string, from: StorePosition, listener: StoreWatchListener): () => void;
  /** Grants a lease. @param ttlMs time to live, milliseconds, rounded up to whole seconds */
  grantLease(ttlMs: number): Promise<Result<{ lease: string; ttlMs: number }, Failure>>;
  /** Renews a lease once; fails with `stale_epoch` if it has expired or its era is over. */
  renewLease(lease: string): Promise<Result<{ ttlMs: number }, Failure>>;
  /** Revokes a lease and deletes its keys. */
  revokeLease(lease: string): Promise<Result<void, Failure>>;
}
