/** How a load estimate follows the counts. */
interface ExpertLoadOptions {
  /** Time constant of the smoothing, milliseconds. */
  readonly smoothingMs: number;
  /** Deviation of a report from the estimate, in standard deviations of the count, of a jump. */
  readonly jumpDeviations: number;
  /** Relative change below which a deviation is drift, however certain it is. */
  readonly jumpChange: number;
}

const DEFAULT_OPTIONS: ExpertLoadOptions = {
  smoothingMs: 45_000,
  // Thirty layers with 128 experts and a report every 10 s test 33 million counts a day; at six
  // deviations chance alone passes less than once a day.
  jumpDeviations: 6,
  jumpChange: 0.2,
};

/**
 * Estimates the share of a layer's load that each expert takes, from reports that lag. Each count
 * is smoothed on its own; a count that jumps replaces its estimate at once.
 */
export class ExpertLoad {
  readonly #options: ExpertLoadOptions;

  #shares: number[] = [];

  #lastEndMs = -Infinity;

  #lastJumpMs = -Infinity;

  constructor(options: Partial<ExpertLoadOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /**
   * Takes in the counts of one interval. Reports that are older than the newest one are dropped.
   *
   * @param counts tokens by expert id
   * @param endMs end of the interval that the counts cover, milliseconds
   * @returns whether a count jumped
   */
  acceptCounts(counts: ArrayLike<number>, endMs: number): boolean {
    let total = 0;
    for (let expert = 0; expert < counts.length; expert += 1) total += counts[expert] ?? 0;
    if (endMs <= this.#lastEndMs || total <= 0) return false;
    const isFirst = this.#shares.length !== counts.length;
    const gain = 1 - Math.exp((this.#lastEndMs - endMs) / this.#options.smoothingMs);
    let hasJumped = false;
    let sum = 0;
    const shares: number[] = [];
    for (let expert = 0; expert < counts.length; expert += 1) {
      const seen = (counts[expert] ?? 0) / total;
      const kept = this.#shares[expert] ?? 0;
      const isJump = !isFirst && this.#isJump(seen, kept, total);
      hasJumped ||= isJump;
      const share = isFirst || isJump ? seen : kept + gain * (seen - kept);
      shares.push(share);
      sum += share;
    }
    // A jump of one expert changes the shares of all others, so the sum is brought back to 1.
    this.#shares = shares.map((share) => share / sum);
    this.#lastEndMs = endMs;
    if (hasJumped) this.#lastJumpMs = endMs;
    return hasJumped;
  }

  /** Returns the share of the load by expert id; empty before the first report. */
  getShares(): readonly number[] {
    return this.#shares;
  }

  /** Returns the end of the newest interval in which a count jumped, or minus infinity. */
  getLastJumpMs(): number {
    return this.#lastJumpMs;
  }

  #isJump(seen: number, kept: number, total: number): boolean {
    // Counts are at least Poisson-distributed; one token keeps the deviation above zero.
    const deviation = Math.sqrt(Math.max(kept * total, 1)) / total;
    const change = Math.abs(seen - kept);
    return (
      change > this.#options.jumpDeviations * deviation && change > this.#options.jumpChange * kept
    );
  }
}
