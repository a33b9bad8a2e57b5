import { TokenBucket, type Clock } from '@limpetbay/core';
import type { MetricRegistry } from '../metrics/MetricRegistry.js';
import type { Log } from './Log.js';

interface SocketErrorLogOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
}

/** A socket may fail with each connection or datagram. */
const MAX_LINES_PER_SECOND = 1;

const MAX_BURST_LINES = 5;

/**
 * Reports errors of sockets that concern no request, such as a failed accept or datagram. Each one is
 * counted in `limpetbay_socket_errors_total`; lines are limited to one a second after a burst.
 */
export class SocketErrorLog {
  readonly #options: SocketErrorLogOptions;

  readonly #lines: TokenBucket;

  /** Errors since the last line. */
  #suppressed = 0;

  constructor(options: SocketErrorLogOptions) {
    this.#options = options;
    this.#lines = new TokenBucket(options.clock, MAX_LINES_PER_SECOND, MAX_BURST_LINES);
  }

  /**
   * Reports an error.
   *
   * @param socket name of the socket, a label of the counter
   * @param fields `next` is what happens next
   */
  report(
    socket: string,
    sentence: string,
    fields: { readonly cause: string; readonly next: string; readonly address?: string },
  ): void {
    const { log, metrics } = this.#options;
    metrics.increase(`limpetbay_socket_errors_total{socket="${socket}"}`);
    if (!this.#lines.take()) {
      this.#suppressed += 1;
      return;
    }
    const suppressed = this.#suppressed > 0 ? { suppressed: this.#suppressed } : {};
    log.warn(sentence, { socket, ...fields, ...suppressed });
    this.#suppressed = 0;
  }
}
