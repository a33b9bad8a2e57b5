import { createSocket, type Socket } from 'node:dgram';
import { parseAddress } from '@limpetbay/core';
import { PeerMessage } from './PeerMessage.js';

interface PeerSocketOptions {
  readonly host: string;
  readonly port: number;
  /** @param from `IP:PORT` of the sender */
  readonly onMessage: (message: PeerMessage, from: string) => void;
  /** Called for each datagram with the size of its payload in bytes. */
  readonly onTraffic?: (direction: 'in' | 'out', kind: PeerMessage['kind'], bytes: number) => void;
  /** Called for datagrams that fail to parse, invalid addresses and errors of the socket. */
  readonly onError: (cause: string) => void;
}

/** Exchanges {@link PeerMessage}s with other processes over UDP. */
export class PeerSocket {
  readonly #options: PeerSocketOptions;

  readonly #socket: Socket;

  #isClosed = false;

  constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (data, { address, port }) =>
      this.#handleDatagram(data, `${address}:${port}`),
    );
    this.#socket.on('error', (error) => options.onError(error.message));
  }

  /** Binds the socket; rejects if the address is in use. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(this.#options.port, this.#options.host, resolve);
    });
  }

  /**
   * Sends a message without confirmation of delivery.
   *
   * @param addresses `IP:PORT` of the receivers
   */
  send(message: PeerMessage, addresses: Iterable<string>): void {
    // Handlers that finish after the process stopped may still send; their messages are dropped.
    if (this.#isClosed) return;
    const data = Buffer.from(JSON.stringify(message));
    for (const address of addresses) {
      const parsed = parseAddress(address);
      if (parsed.err) {
        this.#options.onError(parsed.val.message);
        continue;
      }
      const { host, port } = parsed.val;
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
    let message: PeerMessage;
    try {
      message = PeerMessage.parse(JSON.parse(data.toString()));
    } catch (error) {
      this.#options.onError(`${from}: ${(error as Error).message}`);
      return;
    }
    this.#options.onTraffic?.('in', message.kind, data.length);
    this.#options.onMessage(message, from);
  }
}
