import type { PeerMessage } from '@limpetbay/rpc';

/** Receives the datagrams of a {@link PeerTransport}. */
export interface PeerTransportEvents {
  /** @param from `IP:PORT` of the sender */
  readonly onMessage: (message: PeerMessage, from: string) => void;
  /** Called for each datagram with the size of its payload in bytes. */
  readonly onTraffic: (direction: 'in' | 'out', kind: PeerMessage['kind'], bytes: number) => void;
  /** Called for datagrams that fail to parse, with their sender, and for invalid receivers. */
  readonly onInvalid: (address: string, cause: string) => void;
  /** Called for datagrams that fail to leave, and for faults of `onMessage`. */
  readonly onError: (cause: string) => void;
}
