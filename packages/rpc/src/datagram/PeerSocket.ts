import { createSocket, type Socket } from 'node:dgram';
import { decodeJson } from '@limpetbay/core';
import { PeerMessage } from './PeerMessage.js';
import { AddressCache } from './AddressCache.js';
import { encodePeerMessage } from './encodePeerMessage.js';

interface PeerSocketOptions {
  readonly host: string;
  readonly port: number;
  /** @param from `IP:PORT` of the sender */
  readonly onMessage: (message: PeerMessage, from: string) => void;
  /** Called for each datagram with the size of its payload in bytes. */
  readonly onTraffic?: (direction: 'in' | 'out', kind: PeerMessage['kind'], bytes: number) => void;
  /**
   * Called for a datagram that does not match the schema, with its sender, and for a receiver whose
   * address is not valid.
   */
  readonly onInvalid: (address: string, cause: string) => void;
  /** Called for errors of the socket and faults of `onMessage`. */
  readonly onError: (cause: string) => void;
}

const IPV4_FAMILY = 4;

/** Exchanges {@link PeerMessage}s with other processes over UDP. */
export class PeerSocket {
  readonly #options: PeerSocketOptions;

  readonly #socket: Socket;

  readonly #addresses = new AddressCache();

  /** Whether messages can be exchanged; a socket that sends before it is bound gets another port. */
  #isBound = false;

  #isClosed = false;

  constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket({
      type: 'udp4',
      // Receivers are IP addresses, which need no look-up.
      lookup: (host, _options, callback) => callback(null, host, IPV4_FAMILY),
    });
    this.#socket.on('message', (data, { address, port }) =>
      this.#handleDatagram(data, `${address}:${port}`),
    );
    this.#socket.on('error', (error) => {
      if (this.#isBound) options.onError(error.message);
    });
  }

  /**
   * Tries once to bind the socket; may be called again if the address cannot be used.
   *
   * @throws if the address cannot be used
   */
  async bind(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(this.#options.port, this.#options.host, () => {
        this.#socket.off('error', reject);
        this.#isBound = true;
        resolve();
      });
    });
  }

  /**
   * Sends a message without confirmation of delivery. Until the socket is bound, it is dropped.
   *
   * @param addresses `IP:PORT` of the receivers
   */
  send(message: PeerMessage, addresses: Iterable<string>): void {
    // Handlers that finish after the process stopped may still send; their messages are dropped.
    if (this.#isClosed || !this.#isBound) return;
    let data: Buffer | null = null;
    for (const address of addresses) {
      const parsed = this.#addresses.parse(address);
      if (parsed.err) {
        this.#options.onInvalid(address, parsed.val.message);
        continue;
      }
      const { host, port } = parsed.val;
      data ??= Buffer.from(encodePeerMessage(message));
      this.#options.onTraffic?.('out', message.kind, data.length);
      this.#socket.send(data, port, host, (error) => {
        if (error !== null) this.#options.onError(`${address}: ${error.message}`);
      });
    }
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#socket.close();
  }

  #handleDatagram(data: Buffer, from: string): void {
    const message = decodeJson(PeerMessage, data.toString());
    if (message.err) {
      this.#options.onInvalid(from, message.val.message);
      return;
    }
    const { kind } = message.val;
    this.#options.onTraffic?.('in', kind, data.length);
    try {
      this.#options.onMessage(message.val, from);
    } catch (error) {
      this.#options.onError(`${kind} of ${from}: ${(error as Error).message}`);
    }
  }
}
