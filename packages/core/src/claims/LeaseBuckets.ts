import { z } from 'zod';
import type { Clock } from '../clock/Clock.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { Store } from '../store/Store.js';
import type { ClaimOptions } from './ClaimOptions.js';
import type { TokenBucket } from '../rate/TokenBucket.js';

const LeaseRecord = z.object({ lease: z.string() });

/** Least and most time from a failed fetch to the next. */
const BACKOFF_MS = [50, 1000] as const;

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

  readonly #budget: TokenBucket;

  readonly #options: ClaimOptions;

  readonly #service: ServiceName;

  readonly #random: RandomSource;

  readonly #acceptLease: () => void;

  readonly #aheadMs: number;

  readonly #leases = new Map<number, string>();

  #fetch: { readonly sentMs: number } | null = null;

  /** Whether claims wait for the lease of the present period. */
  #isWanted = false;

  #failures = 0;

  #failingSinceMs: number | null = null;

  #retryMs = 0;

  /** @param acceptLease called when a lease was fetched */
  constructor(
    store: Store,
    clock: Clock,
    random: RandomSource,
    budget: TokenBucket,
    options: ClaimOptions,
    service: ServiceName,
    acceptLease: () => void,
  ) {
    this.#store = store;
    this.#clock = clock;
    this.#budget = budget;
    this.#options = options;
    this.#service = service;
    this.#random = random;
    this.#acceptLease = acceptLease;
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

  /** Fetches the lease of the present period, now or after the delay that follows a failure. */
  fetch(): void {
    this.#isWanted = true;
    this.tick();
  }

  /** Whether the present lease could not be fetched for so long that no claim should wait for it. */
  isOut(): boolean {
    const sinceMs = this.#failingSinceMs;
    if (this.find() !== null || sinceMs === null) return false;
    return this.#clock.getNow() - sinceMs >= this.#options.storeWaitMs;
  }

  tick(): void {
    const now = this.#clock.getNow();
    if (this.#fetch !== null) {
      if (now - this.#fetch.sentMs < this.#options.callTimeoutMs) return;
      this.#fail(this.#fetch.sentMs);
    }
    if (now < this.#retryMs) return;
    const bucket = this.#getBucket();
    const nextBucket = this.#getBucket(this.#aheadMs);
    if (!this.#leases.has(bucket)) {
      if (this.#isWanted || this.#failures > 0) void this.#start(bucket);
    } else if (!this.#leases.has(nextBucket)) void this.#start(nextBucket);
  }

  #fail(sentMs: number): void {
    const [leastMs, mostMs] = BACKOFF_MS;
    const capMs = Math.min(mostMs, leastMs * 2 ** this.#failures);
    this.#fetch = null;
    this.#failures += 1;
    this.#failingSinceMs ??= sentMs;
    this.#retryMs = this.#clock.getNow() + capMs * this.#random.next();
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
    if (lease === null) {
      this.#fail(fetch.sentMs);
      return;
    }
    this.#fetch = null;
    this.#isWanted = false;
    this.#failures = 0;
    this.#failingSinceMs = null;
    this.#leases.set(bucket, lease);
    for (const old of this.#leases.keys()) if (old < bucket - 1) this.#leases.delete(old);
    this.#acceptLease();
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
