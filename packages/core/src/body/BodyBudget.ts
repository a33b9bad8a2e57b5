/** A body in memory, as its budget sees it. */
interface BudgetedBody {
  countBytes(): number;
  /** Drops the body, because all bodies together take too much memory. */
  evict(): void;
}

/**
 * Limits the memory of all incomplete bodies of a process. Where they exceed it, the largest one is
 * dropped, so that bodies without an end do not displace ordinary ones.
 */
export class BodyBudget {
  readonly #maxBytes: number;

  readonly #bodies = new Set<BudgetedBody>();

  #bytes = 0;

  /** @param maxBytes largest sum of all bodies */
  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  /** Counts bytes that were added to a body; may evict that body or another one. */
  acquire(body: BudgetedBody, bytes: number): void {
    this.#bodies.add(body);
    this.#bytes += bytes;
    while (this.#bytes > this.#maxBytes) {
      const largest = this.#findLargest();
      if (largest === null) return;
      this.#bodies.delete(largest);
      largest.evict();
    }
  }

  /** Gives back the bytes of a body that is complete or dropped. */
  release(body: BudgetedBody, bytes: number): void {
    this.#bodies.delete(body);
    this.#bytes -= bytes;
  }

  /** Returns the sum of all bodies, bytes. */
  countBytes(): number {
    return this.#bytes;
  }

  #findLargest(): BudgetedBody | null {
    let largest: BudgetedBody | null = null;
    for (const body of this.#bodies) {
      if (largest === null || body.countBytes() > largest.countBytes()) largest = body;
    }
    return largest;
  }
}
