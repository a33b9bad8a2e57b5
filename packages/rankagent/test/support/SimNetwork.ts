import type { Clock } from '@limpetbay/core';
import { SimHost } from './SimHost.js';

/** Propagation delay between two hosts, milliseconds. */
const DELAY_MS = 0.9;

/** IP and UDP headers of a datagram, and about as much for a segment of a connection, bytes. */
const HEADER_BYTES = 28;

/** Datagrams that would wait longer at a link are dropped, milliseconds. */
const MAX_DATAGRAM_WAIT_MS = 100;

/**
 * Network of hosts whose links have a bandwidth. It stands for agents on machines with slow links:
 * what exceeds the bandwidth of the sender or the receiver waits, and datagrams that wait too long
 * are lost. It runs on the timers of the process.
 */
export class SimNetwork {
  readonly #clock: Clock;

  readonly #hosts = new Map<string, SimHost>();

  /** Messages to hosts that the simulation lacks, such as agents of other groups. */
  unknownReceivers = 0;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  addHost(address: string, bitsPerSecond: number): SimHost {
    const host = new SimHost(this, address, bitsPerSecond);
    this.#hosts.set(address, host);
    return host;
  }

  sendDatagram(from: SimHost, to: string, bytes: number, onArrival: (host: SimHost) => void): void {
    this.#send(from, to, bytes, MAX_DATAGRAM_WAIT_MS, onArrival);
  }

  /** Sends data on a connection, which waits for a full link instead of being lost. */
  sendSegment(from: SimHost, to: string, bytes: number, onArrival: (host: SimHost) => void): void {
    this.#send(from, to, bytes, Infinity, onArrival);
  }

  #send(
    from: SimHost,
    to: string,
    bytes: number,
    maxWaitMs: number,
    onArrival: (host: SimHost) => void,
  ): void {
    const sentBytes = bytes + HEADER_BYTES;
    const leftMs = from.uplink.carry(this.#clock.getNow(), sentBytes, maxWaitMs);
    const host = this.#hosts.get(to);
    if (host === undefined) this.unknownReceivers += 1;
    if (leftMs === null || host === undefined) return;
    setTimeout(
      () => {
        const arrivedMs = host.downlink.carry(this.#clock.getNow(), sentBytes, maxWaitMs);
        if (arrivedMs === null) return;
        setTimeout(() => onArrival(host), arrivedMs - this.#clock.getNow());
      },
      leftMs + DELAY_MS - this.#clock.getNow(),
    );
  }
}
