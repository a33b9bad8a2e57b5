import type { PeerMessage } from '@limpetbay/rpc';
import type { TargetPool } from './TargetPool.js';

/** What an entry reaches over the network; tests use an implementation without sockets. */
export interface EntryNetwork {
  /** Opens the connection pool of a target. @param address `IP:PORT` */
  openPool(address: string): TargetPool;
  /** Sends a message without confirmation of delivery. @param addresses `IP:PORT` of receivers */
  sendToPeers(message: PeerMessage, addresses: Iterable<string>): void;
}
