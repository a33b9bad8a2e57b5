import type { Clock } from '../clock/Clock.js';

interface Bucket {
  tokens: number;
  atMs: number;
}

/** Requests that one entry may send at once to a cold target, before its rate holds. */
const BURST = 1;

const MS_PER_SECOND = 1000;

/**
 * Holds the rate of requests to cold targets. The rate of a target holds over all entries, so each
 * entry takes an equal part of it and none depends on what the others do at the moment.
 */
export class ColdLimiter {
  readonly #clock: Clock;

  readonly #buckets = new Map<string, Bucket>();

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
    return this.#refill(id, perSecond / entries).tokens >= 1;
  }

  take(id: string): void {
    const bucket = this.#buckets.get(id);
    if (bucket !== undefined) bucket.tokens -= 1;
  }

  #refill(id: string, rate: number): Bucket {
    const nowMs = this.#clock.getNow();
    const bucket = this.#buckets.get(id) ?? { tokens: BURST, atMs: nowMs };
    bucket.tokens = Math.min(BURST, bucket.tokens + ((nowMs - bucket.atMs) / MS_PER_SECOND) * rate);
    bucket.atMs = nowMs;
    this.#buckets.set(id, bucket);
    return bucket;
  }
}
