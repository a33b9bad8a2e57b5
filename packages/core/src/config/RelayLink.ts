import type { InstanceRecord } from '../membership/InstanceRecord.js';

/** One stream of events from another process, as the follower keeps account of it. */
export class RelayLink {
  readonly peer: InstanceRecord;

  /** `relay`: a chosen relay; `peer`: any process, asked once while nothing is confirmed. */
  readonly kind: 'relay' | 'peer';

  /** Monotonic milliseconds. */
  readonly openedAt: number;

  #close: () => void = () => undefined;

  #lastHeardAt: number;

  #isLive = false;

  #confirmedAt: number | null = null;

  constructor(peer: InstanceRecord, kind: 'relay' | 'peer', openedAt: number) {
    this.peer = peer;
    this.kind = kind;
    this.openedAt = openedAt;
    this.#lastHeardAt = openedAt;
  }

  /** Whether a heartbeat came, so that all documents of the peer have arrived. */
  get isLive(): boolean {
    return this.#isLive;
  }

  get lastHeardAt(): number {
    return this.#lastHeardAt;
  }

  /** When the store last confirmed the peer's documents, in this process's time; null for never. */
  get confirmedAt(): number | null {
    return this.#confirmedAt;
  }

  /** Sets how the stream is closed. */
  setClose(close: () => void): void {
    this.#close = close;
  }

  close(): void {
    this.#close();
  }

  recordHeard(now: number): void {
    this.#lastHeardAt = now;
  }

  /** @param confirmedAt this process's time of the peer's confirmation; null for none */
  recordHeartbeat(confirmedAt: number | null): void {
    this.#isLive = true;
    this.#confirmedAt = confirmedAt;
  }
}
