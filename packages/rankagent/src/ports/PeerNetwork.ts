import type { AgentCalls } from './AgentCalls.js';
import type { PeerTransport } from './PeerTransport.js';
import type { PeerTransportEvents } from './PeerTransportEvents.js';
import type { RemoteAgent } from './RemoteAgent.js';

/** Network through which an agent reaches the other agents of its service and the entries. */
export interface PeerNetwork {
  openTransport(events: PeerTransportEvents): PeerTransport;
  /**
   * Serves the calls of other agents, once the address is bound.
   *
   * @returns a function that stops serving
   */
  serve(calls: AgentCalls): Promise<() => void>;
  /** @param address `IP:PORT` of the agent */
  openAgent(address: string): RemoteAgent;
}
