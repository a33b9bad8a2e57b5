/** Width of one expiry bucket; attempts are forgotten up to this much late. */
const BUCKET_MS = 16_000;

/**
 * Remembers attempt ids until they can no longer be delivered. Nothing is dropped early to make
 * room: the caller asks `isFull` and stops accepting attempts instead.
 */
export class AttemptMemory {
  readonly #capacity: number;

  readonly #known = new Map<string, number>();

  /** Ids by expiry bucket, so that forgetting costs nothing per remembered id. */
  readonly #buckets = new Map<number, string[]>();

  #oldestBucket = Infinity;

  /** @param capacity largest number of ids held */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  getSize(): number {
    return this.#known.size;
  }

  isFull(): boolean {
    return this.#known.size >= this.#capacity;
  }

  has(id: string): boolean {
    return this.#known.has(id);
  }

  /** @param expiresMs monotonic time from which the id may be forgotten */
  add(id: string, expiresMs: number): void {
    const known = this.#known.get(id);
    if (known !== undefined && known >= expiresMs) return;
    this.#known.set(id, expiresMs);
    const bucket = Math.ceil(expiresMs / BUCKET_MS);
    const ids = this.#buckets.get(bucket);
    if (ids === undefined) this.#buckets.set(bucket, [id]);
    else ids.push(id);
    if (bucket < this.#oldestBucket) this.#oldestBucket = bucket;
  }

  /** Forgets the ids whose expiry has passed. */
  expire(nowMs: number): void {
    if (this.#oldestBucket * BUCKET_MS > nowMs) return;
    let oldest = Infinity;
    for (const [bucket, ids] of this.#buckets) {
      if (bucket * BUCKET_MS > nowMs) {
        if (bucket < oldest) oldest = bucket;
        continue;
      }
      for (const id of ids) {
        const expiresMs = this.#known.get(id);
        if (expiresMs !== undefined && expiresMs <= nowMs) this.#known.delete(id);
      }
      this.#buckets.delete(bucket);
    }
    this.#oldestBucket = oldest;
  }
}
