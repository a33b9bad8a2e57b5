import type { UsageSummary } from '../ramp/UsageSummary.js';

interface Band {
  readonly concurrency: number;
  readonly ratio: number;
  /** Relative spread of single samples. */
  readonly spread: number;
  /** Samples behind the ratio, up to the memory of the average. */
  readonly samples: number;
  readonly updatedMs: number;
}

const BANDS_PER_DOUBLING = 4;
/** Measurements of this many samples replace half of what was known of a band. */
const HALF_SAMPLES = 64;
/** Measurements closer than this differ by less than their noise. */
const LEAST_INCREASE = 1.1;
/** Bands with fewer samples are not compared: their spread is not known either. */
const LEAST_SAMPLES = 16;
/**
 * Older measurements are forgotten: a target that has become faster or slower meanwhile must not
 * be held at a limit that the old ones suggest.
 */
const MAX_AGE_MS = 30_000;
/** Least gain of throughput from twice the concurrency that is worth the longer service time. */
const WORTHWHILE_GAIN = 1.1;
/** Standard error of a median over the mean absolute deviation of the samples, about. */
const ERROR_FACTOR = 1.5;
/**
 * The worst of several comparisons counts, which with service times that spread as much as their
 * mean is often wrong by chance. The square widens the tolerance for these and hardly for others.
 */
const ERROR_SQUARE_FACTOR = 14;

/** Returns the tolerance for the relative difference of two bands. */
function computeTolerance(a: Band, b: Band): number {
  const error = Math.sqrt(a.spread ** 2 / a.samples + b.spread ** 2 / b.samples);
  return ERROR_FACTOR * error + ERROR_SQUARE_FACTOR * error ** 2;
}

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

  /** Learns from a window with a known pace. */
  record(nowMs: number, usage: UsageSummary, ratio: number): void {
    this.#expire(nowMs);
    const concurrency = usage.meanInFlight;
    const index = this.#findBand(concurrency);
    const known = this.#bands[index];
    const total = (known?.samples ?? 0) + usage.samples;
    const weight = usage.samples / Math.min(total, usage.samples + HALF_SAMPLES);
    const move = (from: number | undefined, to: number): number =>
      from === undefined ? to : from + weight * (to - from);
    const next: Band = {
      concurrency: move(known?.concurrency, concurrency),
      ratio: move(known?.ratio, ratio),
      spread: move(known?.spread, usage.paceSpread),
      samples: Math.min(total, 2 * HALF_SAMPLES),
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
    if (here === undefined || here.samples < LEAST_SAMPLES) return Infinity;
    let gradient = Infinity;
    for (let lower = 0; lower < index; lower += 1) {
      const band = this.#bands[lower];
      if (band === undefined || band.samples < LEAST_SAMPLES) continue;
      const increase = here.concurrency / band.concurrency;
      if (increase < LEAST_INCREASE) continue;
      const gain = ((increase * band.ratio) / here.ratio) * (1 + computeTolerance(here, band));
      gradient = Math.min(gradient, gain / increase ** Math.log2(WORTHWHILE_GAIN));
    }
    return gradient;
  }

  /** Tells whether a concurrency between half of this one and clearly below it is known. */
  hasNear(concurrency: number): boolean {
    for (const band of this.#bands) {
      const increase = band === undefined ? 0 : concurrency / band.concurrency;
      if (increase >= LEAST_INCREASE && increase <= 2) return true;
    }
    return false;
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
