import type { BodyBudget, Clock } from '@limpetbay/core';
import { PeerSocket } from '@limpetbay/rpc';
import type { AddressBinder } from '@limpetbay/runtime';
import type { AgentCalls } from '../ports/AgentCalls.js';
import type { PeerNetwork } from '../ports/PeerNetwork.js';
import type { PeerTransport } from '../ports/PeerTransport.js';
import type { PeerTransportEvents } from '../ports/PeerTransportEvents.js';
import type { RemoteAgent } from '../ports/RemoteAgent.js';
import { AgentServer } from './AgentServer.js';
import { HttpAgent } from './HttpAgent.js';

interface SocketNetworkOptions {
  readonly clock: Clock;
  readonly binder: AddressBinder;
  /** Address and port of this agent, for datagrams and for calls. */
  readonly host: string;
  readonly port: number;
  /** Limits the memory of all bodies that arrive. */
  readonly bodyBudget: BodyBudget;
}

/** Network of the operating system: datagrams over UDP, calls over HTTP. */
export class SocketNetwork implements PeerNetwork {
  readonly #options: SocketNetworkOptions;

  constructor(options: SocketNetworkOptions) {
    this.#options = options;
  }

  openTransport(events: PeerTransportEvents): PeerTransport {
    const { host, port, binder } = this.#options;
    const socket = new PeerSocket({ host, port, ...events });
    return {
      start: () =>
        binder.bind({
          name: 'datagrams',
          address: `${host}:${port}`,
          bind: () => socket.bind(),
        }),
      send: (message, addresses) => socket.send(message, addresses),
      close: () => socket.close(),
    };
  }

  async serve(calls: AgentCalls): Promise<() => void> {
    const { host, port, binder, bodyBudget } = this.#options;
    const server = new AgentServer({ host, port, calls, bodyBudget });
    await binder.bind({
      name: 'agents',
      address: `${host}:${port}`,
      bind: (onError) => server.bind(onError),
    });
    return () => server.close();
  }

  openAgent(address: string): RemoteAgent {
    const { clock, bodyBudget } = this.#options;
    return new HttpAgent(address, clock, bodyBudget);
  }
}
