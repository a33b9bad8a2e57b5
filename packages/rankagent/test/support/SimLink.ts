const BITS_PER_BYTE = 8;
const MS_PER_SECOND = 1000;

/** One direction of the link of a host: messages leave it one after the other at its bandwidth. */
export class SimLink {
  readonly #bitsPerSecond: number;

  #busyUntilMs = 0;

  /** Bytes that were carried. */
  carriedBytes = 0;

  constructor(bitsPerSecond: number) {
    this.#bitsPerSecond = bitsPerSecond;
  }

  /**
   * Queues a message.
   *
   * @param maxWaitMs a message that would wait longer is dropped
   * @returns when its last byte has left the link; null if it was dropped
   */
  carry(nowMs: number, bytes: number, maxWaitMs: number): number | null {
    const startMs = Math.max(nowMs, this.#busyUntilMs);
    if (startMs - nowMs > maxWaitMs) return null;
    this.#busyUntilMs = startMs + (bytes * BITS_PER_BYTE * MS_PER_SECOND) / this.#bitsPerSecond;
    this.carriedBytes += bytes;
    return this.#busyUntilMs;
  }

  /** Returns the mean use of the link over a period as a fraction of its bandwidth. */
  getUse(periodMs: number): number {
    const bits = this.carriedBytes * BITS_PER_BYTE;
    return bits / ((this.#bitsPerSecond * periodMs) / MS_PER_SECOND);
  }
}
