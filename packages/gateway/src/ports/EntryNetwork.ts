import type { PeerMessage } from '@limpetbay/rpc';
import type { ListenerState } from '@limpetbay/targets';
import type { TargetPool } from './TargetPool.js';

/** What an entry reaches over the network; tests use an implementation without sockets. */
export interface EntryNetwork {
  /** Opens the connection pool of a target. @param address `IP:PORT` */
  openPool(address: string): TargetPool;
  /** Finds out whether a process listens. @param address `IP:PORT` */
  checkListener(address: string, timeoutMs: number): Promise<ListenerState>;
  /** Sends a message without confirmation of delivery. @param addresses `IP:PORT` of receivers */
  sendToPeers(message: PeerMessage, addresses: Iterable<string>): void;
}
