interface OwnUse {
  requests: number;
  tokens: number;
}

/** Requests after which the mean has moved most of the way to a new size. */
const MEMORY_REQUESTS = 32;

/**
 * KV tokens that the requests at the ranks of one service hold when they end, as far as one entry
 * knows: the estimates of its own requests, and the mean of these for each request of others.
 */
export class KvUse {
  /** By target id; targets without requests of this entry are not listed. */
  readonly #own = new Map<string, OwnUse>();

  #meanTokens: number | null = null;

  /** Records a request that is sent to a target. @param tokens its estimated KV tokens */
  recordSent(targetId: string, tokens: number): void {
    const own = this.#own.get(targetId) ?? { requests: 0, tokens: 0 };
    this.#own.set(targetId, { requests: own.requests + 1, tokens: own.tokens + tokens });
    this.#meanTokens ??= tokens;
    this.#meanTokens += (tokens - this.#meanTokens) / MEMORY_REQUESTS;
  }

  /** Records the end of a request. @param tokens as recorded when it was sent */
  recordEnd(targetId: string, tokens: number): void {
    const own = this.#own.get(targetId);
    if (own === undefined) return;
    if (own.requests <= 1) this.#own.delete(targetId);
    else this.#own.set(targetId, { requests: own.requests - 1, tokens: own.tokens - tokens });
  }

  /**
   * Returns whether a rank has space for another request. A rank without requests has space for any,
   * because a larger one would find none elsewhere either.
   *
   * @param occupancy requests at the rank, of all entries
   * @param tokens estimated KV tokens of the request
   * @param kvCapacity KV tokens that the rank can hold
   */
  hasSpace(targetId: string, occupancy: number, tokens: number, kvCapacity: number): boolean {
    const own = this.#own.get(targetId) ?? { requests: 0, tokens: 0 };
    const otherRequests = Math.max(0, occupancy - own.requests);
    if (otherRequests + own.requests < 1) return true;
    const otherTokens = otherRequests * (this.#meanTokens ?? 0);
    return own.tokens + otherTokens + tokens <= kvCapacity;
  }
}
