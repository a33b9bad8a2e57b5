interface DemandEstimatorOptions {
  /** Time constant of the short-term estimate, milliseconds. */
  readonly recentTimeConstantMs: number;
  /** Time constant of the long-term estimate, milliseconds. */
  readonly longTermTimeConstantMs: number;
  /** Cosine similarity of new counts to the short-term estimate under which demand has shifted. */
  readonly shiftSimilarityThreshold: number;
}

const DEFAULT_OPTIONS: DemandEstimatorOptions = {
  recentTimeConstantMs: 1200,
  longTermTimeConstantMs: 5000,
  shiftSimilarityThreshold: 0.8,
};

/** Weight of the old estimate after a shift, as a share of the first counts after the shift. */
const RETAINED_SHARE_AFTER_SHIFT = 0.1;

/** Weight of the long-term estimate, which retains copies that are likely to be needed again. */
const LONG_TERM_WEIGHT = 0.1;

/**
 * Estimates the demand for each expert of a group from routing counts. Smooths out changes in the
 * mix of running requests and resets when demand shifts abruptly.
 */
export class DemandEstimator {
  readonly #options: DemandEstimatorOptions;

  readonly #sets: number;

  readonly #experts: number;

  readonly #recent: Float64Array;

  readonly #longTerm: Float64Array;

  constructor(sets: number, experts: number, options: Partial<DemandEstimatorOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#sets = sets;
    this.#experts = experts;
    this.#recent = new Float64Array(sets * experts);
    this.#longTerm = new Float64Array(sets * experts);
  }

  /**
   * Adds the routing counts of one interval, summed over all ranks.
   *
   * @param counts times each expert was chosen, indexed by `set * experts + expert`
   * @param intervalMs length of the interval, milliseconds
   * @returns whether demand has shifted
   */
  addCounts(counts: ArrayLike<number>, intervalMs: number): boolean {
    const hasShifted = this.#measureSimilarity(counts) < this.#options.shiftSimilarityThreshold;
    const recentRetention = hasShifted
      ? (RETAINED_SHARE_AFTER_SHIFT * computeSum(counts)) / computeSum(this.#recent)
      : Math.exp(-intervalMs / this.#options.recentTimeConstantMs);
    const longTermRetention = Math.exp(-intervalMs / this.#options.longTermTimeConstantMs);
    for (let index = 0; index < this.#recent.length; index += 1) {
      const count = counts[index] ?? 0;
      this.#recent[index] = (this.#recent[index] ?? 0) * recentRetention + count;
      this.#longTerm[index] = (this.#longTerm[index] ?? 0) * longTermRetention + count;
    }
    return hasShifted;
  }

  /** Returns the demand by set and expert as shares of the set; null until all sets have counts. */
  getLoads(): Float64Array[] | null {
    const loads: Float64Array[] = [];
    for (let set = 0; set < this.#sets; set += 1) {
      const start = set * this.#experts;
      const recent = this.#recent.subarray(start, start + this.#experts);
      const longTerm = this.#longTerm.subarray(start, start + this.#experts);
      const recentSum = computeSum(recent);
      const longTermSum = computeSum(longTerm);
      if (recentSum <= 0 || longTermSum <= 0) return null;
      loads.push(
        recent.map(
          (count, expert) =>
            ((1 - LONG_TERM_WEIGHT) * count) / recentSum +
            (LONG_TERM_WEIGHT * (longTerm[expert] ?? 0)) / longTermSum,
        ),
      );
    }
    return loads;
  }

  /** Cosine similarity of the counts and the short-term estimate; 1 if either is empty. */
  #measureSimilarity(counts: ArrayLike<number>): number {
    let product = 0;
    let countNorm = 0;
    let recentNorm = 0;
    for (let index = 0; index < this.#recent.length; index += 1) {
      const count = counts[index] ?? 0;
      const recent = this.#recent[index] ?? 0;
      product += count * recent;
      countNorm += count * count;
      recentNorm += recent * recent;
    }
    if (countNorm === 0 || recentNorm === 0) return 1;
    return product / Math.sqrt(countNorm * recentNorm);
  }
}

function computeSum(counts: ArrayLike<number>): number {
  let sum = 0;
  for (let index = 0; index < counts.length; index += 1) sum += counts[index] ?? 0;
  return sum;
}
