import type { Clock } from '../clock/Clock.js';
import { TokenBucket } from '../rate/TokenBucket.js';

/** Requests that one entry may send at once to a cold target, before its rate holds. */
const BURST = 1;

/**
 * Holds the rate of requests to cold targets. The rate of a target holds over all entries, so each
 * entry takes an equal part of it and none depends on what the others do at the moment.
 */
export class ColdLimiter {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, TokenBucket>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Tells whether a cold target may get one more request now.
   *
   * @param perSecond rate that the target bears from all entries together
   * @param entries number of entries that may send to it
   */
  hasRoom(id: string, perSecond: number, entries: number): boolean {
    const rate = perSecond / entries;
    let bucket = this.#buckets.get(id);
    if (bucket === undefined) {
      bucket = new TokenBucket(this.#clock, rate, BURST);
      this.#buckets.set(id, bucket);
    }
    bucket.setRate(rate);
    return bucket.hasToken();
  }

  take(id: string): void {
    this.#buckets.get(id)?.take();
  }
}
