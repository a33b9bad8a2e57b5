/**
 * The prefix hashes that a target probably has in its cache, from the target's cache events and the
 * requests that this entry sent to it. Both are hints. The number of hashes is bounded; the oldest
 * are evicted first, as in the engine's cache.
 */
export class PrefixHints {
  #limit: number;

  /** In order of insertion, oldest first. */
  readonly #hashes = new Set<string>();

  #sequence: number | null = null;

  constructor(limit: number) {
    this.#limit = limit;
  }

  has(hash: string): boolean {
    return this.#hashes.has(hash);
  }

  setLimit(limit: number): void {
    this.#limit = limit;
  }

  /** Adds a hash as the newest. The caller must then call `evict` until it returns null. */
  add(hash: string): void {
    this.#hashes.delete(hash);
    this.#hashes.add(hash);
  }

  /** Removes and returns the oldest hash if the limit is exceeded; returns null otherwise. */
  evict(): string | null {
    if (this.#hashes.size <= this.#limit) return null;
    const [oldest] = this.#hashes;
    if (oldest === undefined) return null;
    this.#hashes.delete(oldest);
    return oldest;
  }

  remove(hash: string): void {
    this.#hashes.delete(hash);
  }

  /** Removes all hashes and returns them. */
  clear(): string[] {
    const removed = [...this.#hashes];
    this.#hashes.clear();
    return removed;
  }

  /**
   * Checks the sequence number of a cache event.
   *
   * @returns `next` for the first or the expected number; `old` for a number not above the last
   *   one; `gap` if events in between are missing, in which case the caller must clear the hints
   */
  checkSequence(sequence: number): 'next' | 'old' | 'gap' {
    const last = this.#sequence;
    if (last !== null && sequence <= last) return 'old';
    this.#sequence = sequence;
    return last === null || sequence === last + 1 ? 'next' : 'gap';
  }

  /** Accepts any next sequence number, for a target that has restarted. */
  resetSequence(): void {
    this.#sequence = null;
  }
}
