/** Two bands to the doubling of the concurrency. */
const BANDS_PER_DOUBLING = 2;
/** Measurements of about this many samples replace half of what was known of a band. */
const HALF_SAMPLES = 16;
/** Least gain of throughput from twice the concurrency that is worth the longer service time. */
const WORTHWHILE_GAIN = 1.1;

/**
 * Remembers the pace of a target by concurrency and tells whether more concurrency still raises
 * the throughput. Unlike a comparison with the idle pace this needs no assumption about how much
 * a target slows down as it is filled: a batching engine by far more than a worker pool.
 */
export class ConcurrencyGradient {
  /** Pace ratio by band; undefined where nothing was measured. */
  #bands: (number | undefined)[] = [];

  clear(): void {
    this.#bands = [];
  }

  /**
   * @param concurrency mean number in flight
   * @param ratio pace over warm pace
   */
  record(concurrency: number, ratio: number, samples: number): void {
    const band = this.#findBand(concurrency);
    const known = this.#bands[band];
    const weight = samples / (samples + HALF_SAMPLES);
    const next = known === undefined ? ratio : known + weight * (ratio - known);
    this.#bands[band] = next;
    // Fewer requests are never slower: a lower band with a slower pace is out of date.
    for (let index = 0; index < band; index += 1) {
      const lower = this.#bands[index];
      if (lower !== undefined && lower > next) this.#bands[index] = next;
    }
  }

  /**
   * Returns the gain of throughput over that at half the concurrency or less, relative to the
   * least worthwhile gain: below 1 the target is past the concurrency that it can use.
   */
  compute(concurrency: number, ratio: number): number | null {
    for (let band = this.#findBand(concurrency) - BANDS_PER_DOUBLING; band >= 0; band -= 1) {
      const lower = this.#bands[band];
      if (lower === undefined) continue;
      const increase = concurrency / 2 ** (band / BANDS_PER_DOUBLING);
      return (increase * (lower / ratio)) / increase ** Math.log2(WORTHWHILE_GAIN);
    }
    return null;
  }

  #findBand(concurrency: number): number {
    return Math.max(0, Math.round(BANDS_PER_DOUBLING * Math.log2(Math.max(1, concurrency))));
  }
}
