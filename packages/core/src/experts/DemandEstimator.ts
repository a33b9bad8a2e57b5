interface EstimatorOptions {
  /** Time constants of the estimate that follows and of the one that remembers, milliseconds. */
  readonly followMs: number;
  readonly rememberMs: number;
  /** Similarity of a report with the estimate below which demand has shifted, 0 to 1. */
  readonly shiftSimilarity: number;
}

const DEFAULT_OPTIONS: EstimatorOptions = {
  followMs: 1200,
  rememberMs: 5000,
  shiftSimilarity: 0.8,
};

/** Weight of the old estimate after a shift, as a share of the first counts after it. */
const KEPT_AFTER_SHIFT = 0.1;

/** Weight of the longer memory; it keeps copies that are likely to be wanted again. */
const MEMORY_WEIGHT = 0.1;

/**
 * Estimates the demand for each expert of a group from counts of choices. It smooths over the mix
 * of requests that happen to run, and starts anew when demand shifts at once.
 */
export class DemandEstimator {
  readonly #options: EstimatorOptions;

  readonly #sets: number;

  readonly #experts: number;

  readonly #recent: Float64Array;

  readonly #memory: Float64Array;

  constructor(sets: number, experts: number, options: Partial<EstimatorOptions> = {}) {
    this.#options = { ...DEFAULT_OPTIONS, ...options };
    this.#sets = sets;
    this.#experts = experts;
    this.#recent = new Float64Array(sets * experts);
    this.#memory = new Float64Array(sets * experts);
  }

  /**
   * Adds the counts of one interval over all ranks.
   *
   * @param counts choices by set and expert, set after set
   * @param intervalMs length of the interval, milliseconds
   * @returns whether demand has shifted
   */
  acceptCounts(counts: ArrayLike<number>, intervalMs: number): boolean {
    const hasShifted = this.#measureSimilarity(counts) < this.#options.shiftSimilarity;
    const keptRecent = hasShifted
      ? (KEPT_AFTER_SHIFT * computeSum(counts)) / computeSum(this.#recent)
      : Math.exp(-intervalMs / this.#options.followMs);
    const keptMemory = Math.exp(-intervalMs / this.#options.rememberMs);
    for (let at = 0; at < this.#recent.length; at += 1) {
      const count = counts[at] ?? 0;
      this.#recent[at] = (this.#recent[at] ?? 0) * keptRecent + count;
      this.#memory[at] = (this.#memory[at] ?? 0) * keptMemory + count;
    }
    return hasShifted;
  }

  /** Returns the demand by set and expert as shares of the set; null before the first counts. */
  getLoads(): Float64Array[] | null {
    const loads: Float64Array[] = [];
    for (let set = 0; set < this.#sets; set += 1) {
      const start = set * this.#experts;
      const recent = this.#recent.subarray(start, start + this.#experts);
      const memory = this.#memory.subarray(start, start + this.#experts);
      const recentSum = computeSum(recent);
      const memorySum = computeSum(memory);
      if (recentSum <= 0 || memorySum <= 0) return null;
      loads.push(
        recent.map(
          (count, expert) =>
            ((1 - MEMORY_WEIGHT) * count) / recentSum +
            (MEMORY_WEIGHT * (memory[expert] ?? 0)) / memorySum,
        ),
      );
    }
    return loads;
  }

  /** Cosine of the angle between the counts and the estimate; 1 where either is empty. */
  #measureSimilarity(counts: ArrayLike<number>): number {
    let product = 0;
    let countNorm = 0;
    let recentNorm = 0;
    for (let at = 0; at < this.#recent.length; at += 1) {
      const count = counts[at] ?? 0;
      const recent = this.#recent[at] ?? 0;
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
  for (let at = 0; at < counts.length; at += 1) sum += counts[at] ?? 0;
  return sum;
}
