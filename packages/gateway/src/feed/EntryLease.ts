import type { EntryRecord, Store } from '@limpetbay/core';
import type { Log } from '@limpetbay/runtime';
import type { Timers } from '../ports/Timers.js';

interface EntryLeaseOptions {
  readonly store: Store;
  readonly timers: Timers;
  readonly log: Log;
  /** Key of the registration. */
  readonly key: string;
  readonly record: EntryRecord;
}

/** Life of the registration without renewal; an entry that died leaves the directory after it. */
const LEASE_TTL_MS = 2500;

/** Three renewals fit into the life, so that one lost answer does not end the registration. */
const RENEW_INTERVAL_MS = 800;

/** Pause after a failed call, milliseconds. */
const RETRY_MS = 300;

/** Keeps the registration of an entry in the store under a lease. */
export class EntryLease {
  readonly #options: EntryLeaseOptions;

  #lease: string | null = null;

  #isStopped = false;

  #cancel: (() => void) | null = null;

  constructor(options: EntryLeaseOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  /** Withdraws the registration. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#cancel?.();
    if (this.#lease === null) return;
    const ended = await this.#options.store.revokeLease(this.#lease);
    if (ended.err) {
      this.#options.log.warn('registration not withdrawn; its lease expires', {
        cause: ended.val.message,
      });
    }
  }

  async #run(): Promise<void> {
    const isDone = this.#lease === null ? await this.#register() : await this.#renew();
    if (this.#isStopped) return;
    this.#cancel = this.#options.timers.schedule(isDone ? RENEW_INTERVAL_MS : RETRY_MS, () => {
      void this.#run();
    });
  }

  async #register(): Promise<boolean> {
    const { store, key, record, log } = this.#options;
    const granted = await store.grantLease(LEASE_TTL_MS);
    if (granted.err) {
      log.warn('no lease for the registration', { cause: granted.val.message });
      return false;
    }
    const { lease } = granted.val;
    const written = await store.commit({
      conditions: [],
      writes: [{ key, value: JSON.stringify(record), lease }],
    });
    if (written.err || !written.val.committed) {
      log.warn('registration not written', {
        cause: written.err ? written.val.message : 'refused',
      });
      return false;
    }
    this.#lease = lease;
    log.report('registered', { key, lease });
    if (this.#isStopped) await store.revokeLease(lease);
    return true;
  }

  async #renew(): Promise<boolean> {
    const renewed = await this.#options.store.renewLease(this.#lease as string);
    if (renewed.ok) return true;
    this.#options.log.warn('lease not renewed', { cause: renewed.val.message });
    if (renewed.val.kind !== 'stale_epoch') return false;
    this.#lease = null;
    return this.#register();
  }
}
