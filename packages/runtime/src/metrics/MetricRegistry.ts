import { build, type Histogram } from 'hdr-histogram-js';

const SIGNIFICANT_DIGITS = 2;
/** Quantiles that are printed for each histogram. */
const QUANTILES = [
  { label: '0.5', percentile: 50 },
  { label: '0.95', percentile: 95 },
  { label: '0.99', percentile: 99 },
  { label: '0.999', percentile: 99.9 },
] as const;

/** Counters, gauges and histograms of one process. */
export class MetricRegistry {
  readonly #counters = new Map<string, number>();

  readonly #gauges = new Map<string, () => number>();

  readonly #histograms = new Map<string, Histogram>();

  /** Adds `amount` to a counter. @param name metric name, including labels, as printed */
  increase(name: string, amount = 1): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }

  /** Registers a gauge, whose value is read whenever the metrics are printed. */
  register(name: string, read: () => number): void {
    this.#gauges.set(name, read);
  }

  /** Records a value in a histogram; negative values count as 0, fractions are rounded. */
  record(name: string, value: number): void {
    let histogram = this.#histograms.get(name);
    if (histogram === undefined) {
      histogram = build({
        bitBucketSize: 32,
        autoResize: true,
        numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      });
      this.#histograms.set(name, histogram);
    }
    histogram.recordValue(Math.max(0, Math.round(value)));
  }

  /** Reads the gauges whose names begin with a prefix. */
  readGauges(prefix: string): Record<string, number> {
    const values: Record<string, number> = {};
    for (const [name, read] of this.#gauges) if (name.startsWith(prefix)) values[name] = read();
    return values;
  }

  /** Lists the counters with their labels and values. */
  listCounters(): [string, number][] {
    return [...this.#counters];
  }

  /** Formats all metrics as text, one `name value` pair per line. */
  format(): string {
    const lines: string[] = [];
    for (const [name, value] of this.#counters) lines.push(`${name} ${value}`);
    for (const [name, read] of this.#gauges) lines.push(`${name} ${read()}`);
    for (const [name, histogram] of this.#histograms) {
      for (const { label, percentile } of QUANTILES) {
        const value = histogram.getValueAtPercentile(percentile);
        lines.push(`${name}{quantile="${label}"} ${value}`);
      }
      lines.push(`${name}_count ${histogram.totalCount}`);
    }
    return `${lines.join('\n')}\n`;
  }
}
