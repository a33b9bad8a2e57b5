import type {
  CommitResult,
  EntryRecord,
  Failure,
  RandomSource,
  Result,
  Store,
} from '@limpetbay/core';
import { tryAsyncStep, type Log } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';

interface EntryLeaseOptions {
  readonly store: Store;
  readonly timers: Timers;
  readonly random: RandomSource;
  readonly log: Log;
  /** Returns the number of entries. */
  readonly countEntries: () => number;
  /** Store key of the registration. */
  readonly key: string;
  readonly record: EntryRecord;
}

/** The registration of an entry that crashed expires after this time without renewal. */
const LEASE_TTL_MS = 2500;

/** Three renewals fit into the TTL, so that one unanswered call does not end the registration. */
const RENEW_INTERVAL_MS = 800;

/**
 * Leases of many entries end together if the store was restored from a copy or was down for long.
 * Their new registrations are spread by this per entry, milliseconds.
 */
const REGISTRATION_SPREAD_MS = 4;

/** Delay after a failed call. */
const RETRY_DELAY_MS = 300;

/** Registers an entry in the store and renews the lease of the registration. */
export class EntryLease {
  readonly #options: EntryLeaseOptions;

  #lease: string | null = null;

  #isStopped = false;

  #cancelTimer: (() => void) | null = null;

  constructor(options: EntryLeaseOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#maintain();
  }

  /** Withdraws the registration. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancelTimer?.();
    if (this.#lease === null) return;
    const revoked = await this.#options.store.revokeLease(this.#lease);
    if (revoked.err) {
      this.#options.log.warn('could not withdraw the registration; it expires with its lease', {
        cause: revoked.val.message,
      });
    }
  }

  async #maintain(): Promise<void> {
    let hasSucceeded = false;
    await tryAsyncStep(this.#options.log, 'keep the registration', async () => {
      hasSucceeded = this.#lease === null ? await this.#register() : await this.#renew();
    });
    if (this.#isStopped) return;
    this.#cancelTimer = this.#options.timers.schedule(
      hasSucceeded ? RENEW_INTERVAL_MS : RETRY_DELAY_MS,
      () => {
        void this.#maintain();
      },
    );
  }

  async #register(): Promise<boolean> {
    const { store, key, log } = this.#options;
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (granted.err) {
      log.warn('could not get a lease for the registration; trying again', {
        cause: granted.val.message,
      });
      return false;
    }
    const { lease } = granted.val;
    const written = await this.#writeRecord(lease);
    if (written.err || !written.val.committed) {
      log.warn('could not write the registration; trying again', {
        cause: written.err ? written.val.message : 'refused',
      });
      return false;
    }
    this.#lease = lease;
    log.report('registered', { key, lease });
    if (this.#isStopped) await store.revokeLease(lease);
    return true;
  }

  /**
   * Replaces the registration that the store has. The condition on its revision makes an unanswered
   * write fail if the store carries it out after a newer one: it would bind the key to a lease that
   * is no longer renewed.
   */
  async #writeRecord(lease: string): Promise<Result<CommitResult, Failure>> {
    const { store, key, record } = this.#options;
    const writes = [{ key, value: JSON.stringify(record), lease }];
    const first = await store.commit({ conditions: [{ key, revision: 0 }], writes });
    if (first.err || first.val.committed) return first;
    const { era, current } = first.val;
    const revision = current[0]?.revision ?? 0;
    return store.commit({ era, conditions: [{ key, revision }], writes });
  }

  async #renew(): Promise<boolean> {
    const renewed = await this.#options.store.renewLease(this.#lease as string);
    if (renewed.ok) return true;
    this.#options.log.warn('could not renew the lease of the registration; trying again', {
      cause: renewed.val.message,
    });
    if (renewed.val.kind !== 'stale_epoch') return false;
    this.#lease = null;
    await this.#waitForTurn();
    return this.#isStopped || this.#register();
  }

  #waitForTurn(): Promise<void> {
    const { timers, random, countEntries } = this.#options;
    const delayMs = random.next() * REGISTRATION_SPREAD_MS * countEntries();
    return new Promise((resolve) => {
      timers.schedule(delayMs, resolve);
    });
  }
}
