import type { UsageSummary } from '../ramp/UsageSummary.js';

/** Running averages over the windows with about the same concurrency. */
interface Band {
  readonly concurrency: number;
  /** Service time relative to the warm value. */
  readonly ratio: number;
  /** Mean absolute deviation of single samples, relative to their median. */
  readonly spread: number;
  /** Samples behind the averages, at most twice `HALF_WEIGHT_SAMPLES`. */
  readonly samples: number;
  readonly updatedMs: number;
}

const BANDS_PER_DOUBLING = 4;
/**
 * Usage window size at which the new window and the samples that its concurrency band already
 * holds count equally in the running averages of the band.
 */
const HALF_WEIGHT_SAMPLES = 64;
/** Bands whose concurrencies are closer than this factor differ by less than their noise. */
const MIN_CONCURRENCY_RATIO = 1.1;
/** Bands with fewer samples are not compared, because their spread is uncertain too. */
const MIN_BAND_SAMPLES = 16;
/**
 * Older bands are evicted: a target that has become faster or slower since then must not be kept
 * at a limit derived from outdated measurements.
 */
const MAX_BAND_AGE_MS = 30_000;
/** Factor by which doubled concurrency must raise throughput to justify longer service times. */
const MIN_GAIN_PER_DOUBLING = 1.1;
/** Approximate standard error of a median of n samples: this times their spread / sqrt(n). */
const STANDARD_ERROR_FACTOR = 1.5;
/**
 * The gradient is the minimum of several comparisons. With service times that spread as much as
 * their mean, that minimum is often too low by chance. The squared term widens the tolerance for
 * such samples and hardly changes it for others.
 */
const SQUARED_ERROR_FACTOR = 14;

/** Returns the tolerance for the relative difference of two bands. */
function computeTolerance(a: Band, b: Band): number {
  const error = Math.sqrt(a.spread ** 2 / a.samples + b.spread ** 2 / b.samples);
  return STANDARD_ERROR_FACTOR * error + SQUARED_ERROR_FACTOR * error ** 2;
}

/**
 * Measures the service time of a target by concurrency and computes whether more concurrency still
 * raises the throughput. Unlike a comparison with the idle service time, this needs no assumption
 * on how much a target slows down under load: a batching engine slows down far more than a worker
 * pool.
 */
export class ConcurrencyGradient {
  #bands: (Band | undefined)[] = [];

  clear(): void {
    this.#bands = [];
  }

  /** Rescales all ratios to a changed warm value. @param factor new warm value / old warm value */
  scale(factor: number): void {
    for (const [index, band] of this.#bands.entries()) {
      if (band !== undefined) this.#bands[index] = { ...band, ratio: band.ratio / factor };
    }
  }

  /** Records a window. @param ratio median service time of the window relative to the warm value */
  record(nowMs: number, usage: UsageSummary, ratio: number): void {
    this.#expire(nowMs);
    const concurrency = usage.meanInFlight;
    const index = this.#findBand(concurrency);
    const existing = this.#bands[index];
    const total = (existing?.samples ?? 0) + usage.samples;
    const weight = usage.samples / Math.min(total, usage.samples + HALF_WEIGHT_SAMPLES);
    const updateAverage = (from: number | undefined, to: number): number =>
      from === undefined ? to : from + weight * (to - from);
    const next: Band = {
      concurrency: updateAverage(existing?.concurrency, concurrency),
      ratio: updateAverage(existing?.ratio, ratio),
      spread: updateAverage(existing?.spread, usage.serviceTimeSpread),
      samples: Math.min(total, 2 * HALF_WEIGHT_SAMPLES),
      updatedMs: nowMs,
    };
    this.#bands[index] = next;
    // Lower concurrency is never slower, so a lower band with a higher ratio is outdated.
    for (let lower = 0; lower < index; lower += 1) {
      const band = this.#bands[lower];
      if (band !== undefined && band.ratio > next.ratio) {
        this.#bands[lower] = { ...band, ratio: next.ratio };
      }
    }
  }

  /**
   * Returns the throughput at this concurrency divided by the throughput that would justify it
   * over every lower measured concurrency. Below 1 the concurrency exceeds what the target can
   * use; `Infinity` where too little is measured for a comparison.
   */
  computeGradient(concurrency: number): number {
    const index = this.#findBand(concurrency);
    const current = this.#bands[index];
    if (current === undefined || current.samples < MIN_BAND_SAMPLES) return Infinity;
    let gradient = Infinity;
    for (let lower = 0; lower < index; lower += 1) {
      const band = this.#bands[lower];
      if (band === undefined || band.samples < MIN_BAND_SAMPLES) continue;
      const increase = current.concurrency / band.concurrency;
      if (increase < MIN_CONCURRENCY_RATIO) continue;
      const gain =
        ((increase * band.ratio) / current.ratio) * (1 + computeTolerance(current, band));
      gradient = Math.min(gradient, gain / increase ** Math.log2(MIN_GAIN_PER_DOUBLING));
    }
    return gradient;
  }

  /**
   * Returns whether a concurrency of at least half of this one, but clearly below it, is measured.
   */
  hasLowerMeasurement(concurrency: number): boolean {
    for (const band of this.#bands) {
      const increase = band === undefined ? 0 : concurrency / band.concurrency;
      if (increase >= MIN_CONCURRENCY_RATIO && increase <= 2) return true;
    }
    return false;
  }

  /** Returns the ratio measured at this concurrency or the next lower one; 1 without any. */
  getServiceTimeRatio(concurrency: number): number {
    for (let index = this.#findBand(concurrency); index >= 0; index -= 1) {
      const band = this.#bands[index];
      if (band !== undefined) return band.ratio;
    }
    return 1;
  }

  #expire(nowMs: number): void {
    for (const [index, band] of this.#bands.entries()) {
      if (band === undefined || nowMs - band.updatedMs <= MAX_BAND_AGE_MS) continue;
      this.#bands[index] = undefined;
    }
  }

  #findBand(concurrency: number): number {
    return Math.max(0, Math.round(BANDS_PER_DOUBLING * Math.log2(Math.max(1, concurrency))));
  }
}
