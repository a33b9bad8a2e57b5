import type { InstanceRecord } from '../membership/InstanceRecord.js';

/** The follower's state of one event stream from another process. */
export class RelayLink {
  readonly peer: InstanceRecord;

  /** `relay`: a chosen relay; `peer`: any process, queried once while nothing is confirmed. */
  readonly kind: 'relay' | 'peer';

  /** Monotonic milliseconds. */
  readonly openedAt: number;

  #close: () => void = () => undefined;

  #lastEventAt: number;

  #isLive = false;

  #confirmedAt: number | null = null;

  constructor(peer: InstanceRecord, kind: 'relay' | 'peer', openedAt: number) {
    this.peer = peer;
    this.kind = kind;
    this.openedAt = openedAt;
    this.#lastEventAt = openedAt;
  }

  /** Whether a heartbeat has arrived, which follows all documents of the peer. */
  get isLive(): boolean {
    return this.#isLive;
  }

  get lastEventAt(): number {
    return this.#lastEventAt;
  }

  /**
   * When the store last confirmed the peer's documents, on this process's clock; null for never.
   */
  get confirmedAt(): number | null {
    return this.#confirmedAt;
  }

  /** Sets the function that closes the stream. */
  setClose(close: () => void): void {
    this.#close = close;
  }

  close(): void {
    this.#close();
  }

  recordEvent(now: number): void {
    this.#lastEventAt = now;
  }

  /**
   * @param confirmedAt time of the peer's last confirmation on this process's clock; null for none
   */
  recordHeartbeat(confirmedAt: number | null): void {
    this.#isLive = true;
    this.#confirmedAt = confirmedAt;
  }
}
