import { z } from 'zod';
import type { Clock } from '../clock/Clock.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { Store } from '../store/Store.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { TokenBucket } from '../rate/TokenBucket.js';

const LeaseRecord = z.object({ lease: z.string() });

/** Bounds of the delay before a failed fetch is retried. */
const RETRY_DELAY_RANGE_MS = [50, 1000] as const;

/** Part of a period, at its end, in which the lease of the next period is fetched. */
const PREFETCH_SHARE = 1 / 6;

/**
 * Caches the store leases of claim records: one lease for each service and period, which all agents
 * share through a record in the store. An agent fetches the lease of the next period at a random
 * time before that period begins, so that the agents do not all call the store at once.
 */
export class SharedLeases {
  readonly #store: Store;

  readonly #clock: Clock;

  readonly #budget: TokenBucket;

  readonly #options: ClaimOptions;

  readonly #service: ServiceName;

  readonly #random: RandomSource;

  readonly #onLease: () => void;

  readonly #prefetchMs: number;

  readonly #leases = new Map<number, string>();

  #pendingFetch: { readonly sentMs: number } | null = null;

  /** Whether claims wait for the lease of the current period. */
  #isNeeded = false;

  #failures = 0;

  #failingSinceMs: number | null = null;

  #retryMs = 0;

  /** @param onLease called after a lease was fetched */
  constructor(
    store: Store,
    clock: Clock,
    random: RandomSource,
    budget: TokenBucket,
    options: ClaimOptions,
    service: ServiceName,
    onLease: () => void,
  ) {
    this.#store = store;
    this.#clock = clock;
    this.#budget = budget;
    this.#options = options;
    this.#service = service;
    this.#random = random;
    this.#onLease = onLease;
    this.#prefetchMs = random.next() * PREFETCH_SHARE * options.bucketMs;
  }

  /** Returns the lease for claims that begin now; null if it has not been fetched. */
  find(): string | null {
    return this.#leases.get(this.#getBucket()) ?? null;
  }

  /** Removes a lease that has ended at the store. */
  remove(lease: string): void {
    for (const [bucket, cached] of this.#leases) {
      if (cached === lease) this.#leases.delete(bucket);
    }
  }

  /**
   * Requests the lease of the current period, at once or after the retry delay of a failed fetch.
   */
  fetch(): void {
    this.#isNeeded = true;
    this.tick();
  }

  /** Whether fetching the current lease has failed for so long that no claim should wait for it. */
  isUnavailable(): boolean {
    const sinceMs = this.#failingSinceMs;
    if (this.find() !== null || sinceMs === null) return false;
    return this.#clock.getNow() - sinceMs >= this.#options.storeWaitMs;
  }

  tick(): void {
    const now = this.#clock.getNow();
    if (this.#pendingFetch !== null) {
      if (now - this.#pendingFetch.sentMs < this.#options.callTimeoutMs) return;
      this.#scheduleRetry(this.#pendingFetch.sentMs);
    }
    if (now < this.#retryMs) return;
    const bucket = this.#getBucket();
    const nextBucket = this.#getBucket(this.#prefetchMs);
    if (!this.#leases.has(bucket)) {
      if (this.#isNeeded || this.#failures > 0) void this.#fetchBucket(bucket);
    } else if (!this.#leases.has(nextBucket)) void this.#fetchBucket(nextBucket);
  }

  #scheduleRetry(sentMs: number): void {
    const [minMs, maxMs] = RETRY_DELAY_RANGE_MS;
    const maxDelayMs = Math.min(maxMs, minMs * 2 ** this.#failures);
    this.#pendingFetch = null;
    this.#failures += 1;
    this.#failingSinceMs ??= sentMs;
    this.#retryMs = this.#clock.getNow() + maxDelayMs * this.#random.next();
  }

  #getBucket(offsetMs = 0): number {
    const wallMs = this.#clock.getWallTime().getTime() + offsetMs;
    return Math.floor(wallMs / this.#options.bucketMs);
  }

  async #fetchBucket(bucket: number): Promise<void> {
    const fetch = { sentMs: this.#clock.getNow() };
    this.#pendingFetch = fetch;
    const lease = await this.#readOrGrant(bucket);
    if (this.#pendingFetch !== fetch) return;
    if (lease === null) {
      this.#scheduleRetry(fetch.sentMs);
      return;
    }
    this.#pendingFetch = null;
    this.#isNeeded = false;
    this.#failures = 0;
    this.#failingSinceMs = null;
    this.#leases.set(bucket, lease);
    for (const period of this.#leases.keys()) if (period < bucket - 1) this.#leases.delete(period);
    this.#onLease();
  }

  async #readOrGrant(bucket: number): Promise<string | null> {
    const key = `limpetbay/claim-leases/${this.#service}/${bucket}`;
    const existing = await this.#store.read(key);
    if (existing.err) return null;
    if (existing.val.record !== null) return this.#parse(existing.val.record.value);
    // Two store writes: one grants the lease, the other creates its record.
    if (!this.#budget.take(1) || !this.#budget.take()) return null;
    const { retentionMs, bucketMs, skewMs } = this.#options;
    const granted = await this.#store.grantLease(
      retentionMs + bucketMs * (1 + PREFETCH_SHARE) + skewMs,
    );
    if (granted.err) return null;
    const { lease } = granted.val;
    const written = await this.#store.commit({
      conditions: [{ key, revision: 0 }],
      writes: [{ key, value: JSON.stringify({ lease }), lease }],
    });
    if (written.ok && written.val.committed) return lease;
    const [present] = written.ok ? written.val.current : [];
    if (present === undefined) return null;
    // Another agent created the record first, so all agents use its lease.
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
