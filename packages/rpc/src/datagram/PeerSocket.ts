import { createSocket, type Socket } from 'node:dgram';
import { splitAddress } from '@limpetbay/core';
import { PeerMessage } from './PeerMessage.js';

interface PeerSocketOptions {
  readonly host: string;
  readonly port: number;
  /** @param from `IP:PORT` of the sender */
  readonly onMessage: (message: PeerMessage, from: string) => void;
  /** Learns of datagrams that cannot be read, and of errors of the socket. */
  readonly onError: (cause: string) => void;
}

/** Sends and receives messages between processes as datagrams. */
export class PeerSocket {
  readonly #options: PeerSocketOptions;

  readonly #socket: Socket;

  #isClosed = false;

  constructor(options: PeerSocketOptions) {
    this.#options = options;
    this.#socket = createSocket('udp4');
    this.#socket.on('message', (data, { address, port }) =>
      this.#accept(data, `${address}:${port}`),
    );
    this.#socket.on('error', (error) => options.onError(error.message));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#socket.once('error', reject);
      this.#socket.bind(this.#options.port, this.#options.host, resolve);
    });
  }

  /** @param addresses `IP:PORT` of the receivers */
  send(message: PeerMessage, addresses: Iterable<string>): void {
    // Answers and orders that were under way when the process stopped have no receiver any more.
    if (this.#isClosed) return;
    const data = Buffer.from(JSON.stringify(message));
    for (const address of addresses) {
      const { host, port } = splitAddress(address);
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

  #accept(data: Buffer, from: string): void {
    let message: PeerMessage;
    try {
      message = PeerMessage.parse(JSON.parse(data.toString()));
    } catch (error) {
      this.#options.onError(`${from}: ${(error as Error).message}`);
      return;
    }
    this.#options.onMessage(message, from);
  }
}
