/** Smoothing and jump detection of a load estimate. */
interface ExpertLoadEstimatorOptions {
  /** Time constant of the smoothing, milliseconds. */
  readonly smoothingMs: number;
  /** Deviation from the estimate above which a count is a jump, in standard deviations. */
  readonly jumpDeviations: number;
  /** Relative change up to which a deviation counts as drift, even if it is significant. */
  readonly minJumpChange: number;
}

const DEFAULT_OPTIONS: ExpertLoadEstimatorOptions = {
  smoothingMs: 45_000,
  // 30 layers of 128 experts, reported every 10 s, are 33 million tests a day. At six deviations,
  // noise triggers a false jump less than once a day.
  jumpDeviations: 6,
  minJumpChange: 0.2,
};

/**
 * Estimates the share of a layer's load that each expert takes, from delayed reports. Smooths each
 * expert's share separately; a share that jumps replaces its estimate immediately.
 */
export class ExpertLoadEstimator {
  readonly #options: ExpertLoadEstimatorOptions;

  #shares: number[] = [];

  #lastEndMs = -Infinity;

  #lastJumpMs = -Infinity;

  constructor(options: Partial<ExpertLoadEstimatorOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
  }

  /**
   * Adds the counts of one interval. Drops reports that are not newer than the last one.
   *
   * @param counts tokens by expert id
   * @param endMs end of the interval, milliseconds
   * @returns whether the share of any expert jumped
   */
  addCounts(counts: ArrayLike<number>, endMs: number): boolean {
    let total = 0;
    for (let expert = 0; expert < counts.length; expert += 1) total += counts[expert] ?? 0;
    if (endMs <= this.#lastEndMs || total <= 0) return false;
    const isFirst = this.#shares.length !== counts.length;
    const gain = 1 - Math.exp((this.#lastEndMs - endMs) / this.#options.smoothingMs);
    let hasJumped = false;
    let sum = 0;
    const shares: number[] = [];
    for (let expert = 0; expert < counts.length; expert += 1) {
      const measured = (counts[expert] ?? 0) / total;
      const estimated = this.#shares[expert] ?? 0;
      const isJump = !isFirst && this.#isJump(measured, estimated, total);
      hasJumped ||= isJump;
      const share = isFirst || isJump ? measured : estimated + gain * (measured - estimated);
      shares.push(share);
      sum += share;
    }
    // A jump of one expert changes the sum of the shares, so they are normalized to 1 again.
    this.#shares = shares.map((share) => share / sum);
    this.#lastEndMs = endMs;
    if (hasJumped) this.#lastJumpMs = endMs;
    return hasJumped;
  }

  /** Returns the share of the load by expert id; empty before the first report. */
  getShares(): readonly number[] {
    return this.#shares;
  }

  /** Returns the end of the last interval with a jump, milliseconds; -Infinity if there is none. */
  getLastJumpMs(): number {
    return this.#lastJumpMs;
  }

  #isJump(measured: number, estimated: number, total: number): boolean {
    // The variance of a count is at least that of a Poisson distribution; the minimum of one token
    // keeps the deviation above zero.
    const deviation = Math.sqrt(Math.max(estimated * total, 1)) / total;
    const change = Math.abs(measured - estimated);
    return (
      change > this.#options.jumpDeviations * deviation &&
      change > this.#options.minJumpChange * estimated
    );
  }
}
