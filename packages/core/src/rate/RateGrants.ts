import type { Clock } from '../clock/Clock.js';
import type { RateGrant } from './RateGrant.js';
import { TokenBucket } from './TokenBucket.js';

interface Bucket {
  readonly tokens: TokenBucket;
  usedMs: number;
}

/** Requests that may be granted at once, as seconds of the rate. */
const BURST_SECONDS = 0.5;

/** Least number of requests that may be granted at once; with one, an idle moment is lost. */
const MIN_BURST = 2;

/** Least rate: one request now and then finds out whether a limit still holds. */
const MIN_PER_SECOND = 0.25;

/** A bucket that was not used for this long is full again, milliseconds. */
const UNUSED_MS = 10_000;

/** Grants requests out of rates that many processes share; this process keeps them for all. */
export class RateGrants {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, Bucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Takes one request out of a rate.
   *
   * @param key name of the rate
   * @param perSecond requests a second; may differ from call to call
   */
  take(key: string, perSecond: number): RateGrant {
    const rate = Math.max(MIN_PER_SECOND, perSecond);
    const { tokens } = this.#getBucket(key, rate);
    if (tokens.take()) return { isGranted: true, retryAfterMs: 0 };
    return { isGranted: false, retryAfterMs: tokens.getWaitMs() };
  }

  /** Forgets rates that were not used for some time. */
  expire(): void {
    const nowMs = this.#clock.getNow();
    for (const [key, { usedMs }] of this.#buckets) {
      if (nowMs - usedMs > UNUSED_MS) this.#buckets.delete(key);
    }
  }

  count(): number {
    return this.#buckets.size;
  }

  #getBucket(key: string, rate: number): Bucket {
    const nowMs = this.#clock.getNow();
    const burst = Math.max(MIN_BURST, BURST_SECONDS * rate);
    let bucket = this.#buckets.get(key);
    if (bucket === undefined) {
      bucket = { tokens: new TokenBucket(this.#clock, rate, burst), usedMs: nowMs };
      this.#buckets.set(key, bucket);
    }
    bucket.tokens.setRate(rate, burst);
    bucket.usedMs = nowMs;
    return bucket;
  }
}
