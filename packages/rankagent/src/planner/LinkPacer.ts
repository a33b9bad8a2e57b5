import type { Clock } from '@limpetbay/core';

const BITS_PER_BYTE = 8;

const MS_PER_SECOND = 1000;

/** Fraction of the link that paced messages take while more of them wait. */
const LINK_FRACTION = 0.5;

/** Bytes that leave without delay; a link buffers about as much without loss. */
const BURST_BYTES = 16_384;

/** Spreads the messages to many agents over time, because a full link drops datagrams. */
export class LinkPacer {
  readonly #clock: Clock;

  #bytesPerMs = 0;

  /** Time at which all messages sent so far have left at the paced rate. */
  #clearMs = -Infinity;

  constructor(clock: Clock, linkBitsPerSecond: number) {
    this.#clock = clock;
    this.setLinkRate(linkBitsPerSecond);
  }

  /** Changes the bandwidth of the link for the messages that are reserved from now on. */
  setLinkRate(linkBitsPerSecond: number): void {
    this.#bytesPerMs = (LINK_FRACTION * linkBitsPerSecond) / BITS_PER_BYTE / MS_PER_SECOND;
  }

  /** Reserves the link for a message. @returns delay after which it may be sent, milliseconds */
  reserve(bytes: number): number {
    const nowMs = this.#clock.getNow();
    const startMs = Math.max(nowMs, this.#clearMs);
    this.#clearMs = startMs + bytes / this.#bytesPerMs;
    return Math.max(0, startMs - nowMs - BURST_BYTES / this.#bytesPerMs);
  }

  /** Returns how long paced messages of a total size take, milliseconds. */
  getDurationMs(bytes: number): number {
    return bytes / this.#bytesPerMs;
  }
}
