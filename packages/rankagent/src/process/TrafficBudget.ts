const BITS_PER_BYTE = 8;

const MS_PER_SECOND = 1000;

/** Headers of a datagram of two fragments, bytes. */
const HEADER_BYTES = 60;

/** Bytes of a status message. */
const STATUS_BYTES = 180;

/** Bytes of a counts message and of a load report besides the encoded numbers. */
const ENVELOPE_BYTES = 120;

/** Bytes of the addresses of reporters in a load report. */
const REPORTERS_BYTES = 80;

/** Bytes of an encoded count and of the encoded load of a rank. */
const COUNT_BYTES = 4 / 3;
const LOAD_BYTES = 32 / 3;

/** Fractions of the planner's link for each flow. The rest is for orders and their answers. */
const COUNTS_LINK_FRACTION = 0.25;
const STATUS_LINK_FRACTION = 0.15;
const REPORT_LINK_FRACTION = 0.35;

/**
 * Bounds the flows that end or begin at the planner of a group, which would otherwise grow with the
 * numbers of ranks, experts and entries until orders wait behind them.
 */
export class TrafficBudget {
  #bytesPerMs = 0;

  /** @param linkBitsPerSecond bandwidth of the link of an agent */
  constructor(linkBitsPerSecond: number) {
    this.setLinkRate(linkBitsPerSecond);
  }

  setLinkRate(linkBitsPerSecond: number): void {
    this.#bytesPerMs = linkBitsPerSecond / BITS_PER_BYTE / MS_PER_SECOND;
  }

  /**
   * Returns in how many intervals a rank sends its counts once. The demand is the same for all
   * ranks of a group, so those of a few ranks in each interval suffice.
   *
   * @param counts number of counts in a message
   */
  getCountsPeriod(ranks: number, counts: number, intervalMs: number): number {
    const bytes = HEADER_BYTES + ENVELOPE_BYTES + COUNT_BYTES * counts;
    const perInterval = (COUNTS_LINK_FRACTION * this.#bytesPerMs * intervalMs) / bytes;
    return Math.max(1, Math.ceil((ranks - 1) / Math.max(1, perInterval)));
  }

  /** Returns the shortest interval at which each rank may send its status, milliseconds. */
  getStatusIntervalMs(ranks: number): number {
    const bytes = (ranks - 1) * (HEADER_BYTES + STATUS_BYTES);
    return bytes / (STATUS_LINK_FRACTION * this.#bytesPerMs);
  }

  /**
   * Returns the shortest interval of load reports, milliseconds.
   *
   * @param receivers subscribers, or agents that forward the reports to subscribers
   */
  getReportIntervalMs(ranks: number, receivers: number): number {
    const bytes =
      receivers * (HEADER_BYTES + ENVELOPE_BYTES + REPORTERS_BYTES + LOAD_BYTES * ranks);
    return bytes / (REPORT_LINK_FRACTION * this.#bytesPerMs);
  }
}
