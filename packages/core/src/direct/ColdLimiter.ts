import type { Clock } from '../clock/Clock.js';
import { TokenBucket } from '../rate/TokenBucket.js';

/** Requests that one entry may send to a cold target in a burst. */
const BURST_REQUESTS = 1;

/**
 * Limits the rate of requests to cold targets. The limit of a target applies to all entries
 * together, so each entry uses an equal share and needs no coordination with the others.
 */
export class ColdLimiter {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, TokenBucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Returns whether a cold target may get one more request now.
   *
   * @param perSecond requests a second that the target can handle from all entries together
   * @param entries number of entries that may send to it
   */
  hasCapacity(id: string, perSecond: number, entries: number): boolean {
    const rate = perSecond / entries;
    let bucket = this.#buckets.get(id);
    if (bucket === undefined) {
      bucket = new TokenBucket(this.#clock, rate, BURST_REQUESTS);
      this.#buckets.set(id, bucket);
    }
    bucket.setRate(rate);
    return bucket.hasToken();
  }

  take(id: string): void {
    this.#buckets.get(id)?.take();
  }
}
