import type { Clock } from '../clock/Clock.js';
import { TokenBucket } from '../rate/TokenBucket.js';
import { combineHashes } from '../routing/combineHashes.js';
import { hashText } from '../routing/hashText.js';
import type { EntryDirectory } from './EntryDirectory.js';

interface ColdLimiterOptions {
  readonly clock: Clock;
  /** Name of this entry in the directory. */
  readonly ownName: string;
  readonly entries: Pick<EntryDirectory, 'listSharingNames' | 'isSettled'>;
}

/** Requests that one entry may send to a cold target in a burst. */
const BURST_REQUESTS = 1;

/** Least rate of an entry that sends to a cold target, requests per second. */
const MIN_ENTRY_RATE = 2;

/**
 * Limits the rate of requests to cold targets. The limit of a target applies to all entries
 * together. Each may send a burst of one request, so the bursts of many entries would exceed it:
 * rendezvous hashing assigns each target to a few entries, which use equal shares of its rate.
 */
export class ColdLimiter {
  readonly #options: ColdLimiterOptions;

  readonly #buckets = new Map<string, TokenBucket>();

  constructor(options: ColdLimiterOptions) {
    this.#options = options;
  }

  /**
   * Returns whether a cold target may get one more request now.
   *
   * @param perSecond requests a second that the target can handle from all entries together
   */
  hasCapacity(id: string, perSecond: number): boolean {
    const { clock, entries } = this.#options;
    // Before all entries are known the shares would be too large.
    if (!entries.isSettled()) return false;
    const names = entries.listSharingNames();
    const assigned = Math.min(names.length, Math.max(1, Math.floor(perSecond / MIN_ENTRY_RATE)));
    if (!this.#isAssigned(id, names, assigned)) return false;
    const rate = perSecond / assigned;
    let bucket = this.#buckets.get(id);
    if (bucket === undefined) {
      bucket = new TokenBucket(clock, rate, BURST_REQUESTS);
      this.#buckets.set(id, bucket);
    }
    bucket.setRate(rate);
    return bucket.hasToken();
  }

  take(id: string): void {
    this.#buckets.get(id)?.take();
  }

  /** Forgets targets that are gone. @param isKnown whether a target may still get requests */
  expire(isKnown: (id: string) => boolean): void {
    for (const id of this.#buckets.keys()) if (!isKnown(id)) this.#buckets.delete(id);
  }

  /** Returns the number of targets in memory. */
  count(): number {
    return this.#buckets.size;
  }

  /** Returns whether this entry is one of the `assigned` entries that rank highest for a target. */
  #isAssigned(id: string, names: readonly string[], assigned: number): boolean {
    const { ownName } = this.#options;
    if (names.length <= assigned) return true;
    const targetHash = hashText(id);
    const ownHash = combineHashes(hashText(ownName), targetHash);
    let higher = 0;
    for (const name of names) {
      if (name !== ownName && combineHashes(hashText(name), targetHash) > ownHash) higher += 1;
      if (higher >= assigned) return false;
    }
    return true;
  }
}
