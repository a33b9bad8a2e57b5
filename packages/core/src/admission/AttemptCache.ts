/** Width of an expiry bucket; ids are evicted up to this long after their expiry. */
const BUCKET_MS = 16_000;

/**
 * Caches the ids of attempts until these can no longer be delivered. No id is evicted before its
 * expiry: when `isFull`, the caller must refuse new attempts instead.
 */
export class AttemptCache {
  readonly #capacity: number;

  readonly #expiresMsById = new Map<string, number>();

  /** Ids by expiry bucket, so that eviction does not scan all ids. */
  readonly #buckets = new Map<number, string[]>();

  #oldestBucket = Infinity;

  /** @param capacity most ids */
  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  getSize(): number {
    return this.#expiresMsById.size;
  }

  isFull(): boolean {
    return this.#expiresMsById.size >= this.#capacity;
  }

  has(id: string): boolean {
    return this.#expiresMsById.has(id);
  }

  /** Adds an id or extends its expiry. @param expiresMs when it may be evicted, monotonic ms */
  add(id: string, expiresMs: number): void {
    const existingMs = this.#expiresMsById.get(id);
    if (existingMs !== undefined && existingMs >= expiresMs) return;
    this.#expiresMsById.set(id, expiresMs);
    const bucket = Math.ceil(expiresMs / BUCKET_MS);
    const ids = this.#buckets.get(bucket);
    if (ids === undefined) this.#buckets.set(bucket, [id]);
    else ids.push(id);
    if (bucket < this.#oldestBucket) this.#oldestBucket = bucket;
  }

  /** Evicts the ids whose expiry has passed. */
  expire(nowMs: number): void {
    if (this.#oldestBucket * BUCKET_MS > nowMs) return;
    let oldest = Infinity;
    for (const [bucket, ids] of this.#buckets) {
      if (bucket * BUCKET_MS > nowMs) {
        if (bucket < oldest) oldest = bucket;
        continue;
      }
      for (const id of ids) {
        const expiresMs = this.#expiresMsById.get(id);
        if (expiresMs !== undefined && expiresMs <= nowMs) this.#expiresMsById.delete(id);
      }
      this.#buckets.delete(bucket);
    }
    this.#oldestBucket = oldest;
  }
}
