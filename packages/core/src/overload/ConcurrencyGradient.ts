interface Band {
  readonly concurrency: number;
  readonly ratio: number;
  readonly updatedMs: number;
}

const BANDS_PER_DOUBLING = 4;
/** Measurements of this many samples replace half of what was known of a band. */
const HALF_SAMPLES = 64;
/** Bands that lie closer than this differ by less than the noise of the measurements. */
const LEAST_DISTANCE = 2;
/**
 * Older measurements are forgotten: a target that has become faster or slower meanwhile must not
 * be held at a limit that the old ones suggest.
 */
const MAX_AGE_MS = 30_000;
/** Least gain of throughput from twice the concurrency that is worth the longer service time. */
const WORTHWHILE_GAIN = 1.1;

/**
 * Remembers the pace of a target by concurrency and tells whether more concurrency still raises
 * the throughput. Unlike a comparison with the idle pace this needs no assumption about how much
 * a target slows down as it is filled: a batching engine by far more than a worker pool.
 */
export class ConcurrencyGradient {
  #bands: (Band | undefined)[] = [];

  clear(): void {
    this.#bands = [];
  }

  /** Adjusts to a changed warm value. @param factor new warm value over the old one */
  scale(factor: number): void {
    for (const [index, band] of this.#bands.entries()) {
      if (band !== undefined) this.#bands[index] = { ...band, ratio: band.ratio / factor };
    }
  }

  /**
   * @param concurrency mean number in flight
   * @param ratio pace over warm pace
   */
  record(nowMs: number, concurrency: number, ratio: number, samples: number): void {
    this.#expire(nowMs);
    const index = this.#findBand(concurrency);
    const known = this.#bands[index] ?? { concurrency, ratio, updatedMs: nowMs };
    const weight = samples / (samples + HALF_SAMPLES);
    const next = {
      concurrency: known.concurrency + weight * (concurrency - known.concurrency),
      ratio: known.ratio + weight * (ratio - known.ratio),
      updatedMs: nowMs,
    };
    this.#bands[index] = next;
    // Fewer requests are never slower: a lower band with a slower pace is out of date.
    for (let lower = 0; lower < index; lower += 1) {
      const band = this.#bands[lower];
      if (band !== undefined && band.ratio > next.ratio) {
        this.#bands[lower] = { ...band, ratio: next.ratio };
      }
    }
  }

  /**
   * Returns the throughput at this concurrency over what it would have to be to be worthwhile
   * compared with every lower concurrency: below 1 the target is past what it can use.
   */
  compute(concurrency: number): number {
    const index = this.#findBand(concurrency);
    const here = this.#bands[index];
    if (here === undefined) return 1;
    let gradient = Infinity;
    for (let lower = 0; lower <= index - LEAST_DISTANCE; lower += 1) {
      const band = this.#bands[lower];
      if (band === undefined) continue;
      const increase = here.concurrency / band.concurrency;
      const gain = (increase * band.ratio) / here.ratio;
      gradient = Math.min(gradient, gain / increase ** Math.log2(WORTHWHILE_GAIN));
    }
    return gradient;
  }

  /** Returns the pace ratio known at this concurrency or the next lower one, 1 without any. */
  getRatio(concurrency: number): number {
    for (let index = this.#findBand(concurrency); index >= 0; index -= 1) {
      const band = this.#bands[index];
      if (band !== undefined) return band.ratio;
    }
    return 1;
  }

  #expire(nowMs: number): void {
    for (const [index, band] of this.#bands.entries()) {
      if (band === undefined || nowMs - band.updatedMs <= MAX_AGE_MS) continue;
      this.#bands[index] = undefined;
    }
  }

  #findBand(concurrency: number): number {
    return Math.max(0, Math.round(BANDS_PER_DOUBLING * Math.log2(Math.max(1, concurrency))));
  }
}
