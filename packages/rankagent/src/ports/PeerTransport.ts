import type { PeerMessage } from '@limpetbay/rpc';

/** Datagram socket of an agent. */
export interface PeerTransport {
  /** Starts to bind the socket; messages are dropped until it is bound. */
  start(): Promise<void>;
  /**
   * Sends a message without confirmation of delivery.
   *
   * @param addresses `IP:PORT` of the receivers
   */
  send(message: PeerMessage, addresses: Iterable<string>): void;
  close(): void;
}
