import { z } from 'zod';
import type { Clock } from '../clock/Clock.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { Store } from '../store/Store.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { WriteBudget } from './WriteBudget.js';

const LeaseRecord = z.object({ lease: z.string() });

/** Share of a period, before the next one begins, in which its lease is fetched. */
const AHEAD = 1 / 6;

/**
 * The leases that hold claims: one for each service and period, shared by all agents through a
 * record. An agent fetches the lease of the next period at a random time before it begins, so that
 * the agents do not all call the store at the change.
 */
export class LeaseBuckets {
  readonly #store: Store;

  readonly #clock: Clock;

  readonly #budget: WriteBudget;

  readonly #options: ClaimOptions;

  readonly #service: ServiceName;

  readonly #acceptFetch: (fetched: boolean) => void;

  readonly #aheadMs: number;

  readonly #leases = new Map<number, string>();

  #fetch: { readonly sentMs: number } | null = null;

  /** @param acceptFetch called after each fetch that `fetch` started */
  constructor(
    store: Store,
    clock: Clock,
    random: RandomSource,
    budget: WriteBudget,
    options: ClaimOptions,
    service: ServiceName,
    acceptFetch: (fetched: boolean) => void,
  ) {
    this.#store = store;
    this.#clock = clock;
    this.#budget = budget;
    this.#options = options;
    this.#service = service;
    this.#acceptFetch = acceptFetch;
    this.#aheadMs = random.next() * AHEAD * options.bucketMs;
  }

  /** Returns the lease for claims that begin now, if it is known. */
  find(): string | null {
    return this.#leases.get(this.#getBucket()) ?? null;
  }

  /** Forgets a lease that the store no longer has. */
  forget(lease: string): void {
    for (const [bucket, known] of this.#leases) {
      if (known === lease) this.#leases.delete(bucket);
    }
  }

  /** Fetches the lease of the present period unless a fetch is under way. */
  fetch(): void {
    if (this.#fetch === null) void this.#start(this.#getBucket());
  }

  tick(): void {
    const now = this.#clock.getNow();
    if (this.#fetch !== null) {
      if (now - this.#fetch.sentMs < this.#options.callTimeoutMs) return;
      this.#fetch = null;
      this.#acceptFetch(false);
    }
    const bucket = this.#getBucket();
    const nextBucket = this.#getBucket(this.#aheadMs);
    if (!this.#leases.has(bucket) || this.#leases.has(nextBucket)) return;
    void this.#start(nextBucket);
  }

  #getBucket(aheadMs = 0): number {
    const wallMs = this.#clock.getWallTime().getTime() + aheadMs;
    return Math.floor(wallMs / this.#options.bucketMs);
  }

  async #start(bucket: number): Promise<void> {
    const fetch = { sentMs: this.#clock.getNow() };
    this.#fetch = fetch;
    const lease = await this.#get(bucket);
    if (this.#fetch !== fetch) return;
    this.#fetch = null;
    if (lease !== null) {
      this.#leases.set(bucket, lease);
      for (const old of this.#leases.keys()) if (old < bucket - 1) this.#leases.delete(old);
    }
    this.#acceptFetch(lease !== null);
  }

  async #get(bucket: number): Promise<string | null> {
    const key = `limpetbay/claim-leases/${this.#service}/${bucket}`;
    const found = await this.#store.read(key);
    if (found.err) return null;
    if (found.val.record !== null) return this.#parse(found.val.record.value);
    // Two writes: the lease and its record.
    if (!this.#budget.take(1) || !this.#budget.take()) return null;
    const { retentionMs, bucketMs, skewMs } = this.#options;
    const granted = await this.#store.grantLease(retentionMs + bucketMs * (1 + AHEAD) + skewMs);
    if (granted.err) return null;
    const { lease } = granted.val;
    const written = await this.#store.commit({
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: JSON.stringify({ lease }), lease }],
    });
    if (written.ok && written.val.committed) return lease;
    const [present] = written.ok ? written.val.current : [];
    if (present === undefined) return null;
    // Another agent was first; its lease is used by all.
    void this.#store.revokeLease(lease);
    return this.#parse(present.value);
  }

  #parse(value: string): string | null {
    try {
      return LeaseRecord.parse(JSON.parse(value)).lease;
    } catch {
      return null;
    }
  }
}
