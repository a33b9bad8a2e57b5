import { TokenBucket, type Clock } from '@limpetbay/core';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Log } from './Log.js';

interface IgnoredRecordLogOptions {
  readonly clock: Clock;
  /** Log of the component, which prefixes its lines with the name of the component. */
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Name of the component that reads the records, a label of the counter. */
  readonly component: string;
}

/** A writer may repeat an invalid record with each heartbeat. */
const MAX_LINES_PER_SECOND = 1;

const MAX_BURST_LINES = 20;

/**
 * Reports records and messages of other writers that are ignored because they are invalid. Each one
 * is counted in `limpetbay_records_ignored_total`; lines are limited to one a second after a burst.
 */
export class IgnoredRecordLog {
  readonly #options: IgnoredRecordLogOptions;

  readonly #lines: TokenBucket;

  /** Ignored records since the last line. */
  #suppressed = 0;

  constructor(options: IgnoredRecordLogOptions) {
    this.#options = options;
    this.#lines = new TokenBucket(options.clock, MAX_LINES_PER_SECOND, MAX_BURST_LINES);
  }

  /**
   * Reports a record.
   *
   * @param record kind of the record, a label of the counter
   * @param key key in the store, or address of the sender
   */
  report(record: string, key: string, cause: string): void {
    const { log, metrics, component } = this.#options;
    const labels = `component="${component}",record="${record}"`;
    metrics.increase(`limpetbay_records_ignored_total{${labels}}`);
    if (!this.#lines.take()) {
      this.#suppressed += 1;
      return;
    }
    const fields = { record, key, cause };
    const suppressed = this.#suppressed > 0 ? { suppressed: this.#suppressed } : {};
    log.warn('invalid record ignored', { ...fields, ...suppressed });
    this.#suppressed = 0;
  }
}
