/**
 * What an entry believes a target has in its prefix cache. The beliefs come from the target's
 * cache events and from the entry's own sends; both are hints. Holds a bounded number of hashes and
 * forgets the oldest first, as the cache of the engine does.
 */
export class PrefixHints {
  #limit: number;

  /** Insertion order is age. */
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

  /** Adds a hash as the newest. The caller then evicts what is too much. */
  add(hash: string): void {
    this.#hashes.delete(hash);
    this.#hashes.add(hash);
  }

  /** Removes the oldest hash where there are too many, and returns it, else null. */
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

  /** Forgets everything and returns what was known. */
  clear(): string[] {
    const known = [...this.#hashes];
    this.#hashes.clear();
    return known;
  }

  /**
   * Checks the sequence number of a cache event.
   *
   * @returns `next` for the one expected or the first; `old` for one already passed; `gap` where
   *   events are missing in between, after which the hints must be cleared
   */
  acceptSequence(sequence: number): 'next' | 'old' | 'gap' {
    const last = this.#sequence;
    if (last !== null && sequence <= last) return 'old';
    this.#sequence = sequence;
    return last === null || sequence === last + 1 ? 'next' : 'gap';
  }

  /** Starts the sequence anew, for a target that has restarted. */
  resetSequence(): void {
    this.#sequence = null;
  }
}
