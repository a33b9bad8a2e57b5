import { encodePeerMessage, type PeerMessage } from '@limpetbay/rpc';
import { fail, type Failure, type Result } from '@limpetbay/core';
import type {
  AgentCalls,
  PeerNetwork,
  PeerTransport,
  PeerTransportEvents,
  RemoteAgent,
} from '../../src/index.js';
import { SimLink } from './SimLink.js';
import type { SimNetwork } from './SimNetwork.js';

/** A machine of a {@link SimNetwork}; its process reaches others only through its link. */
export class SimHost implements PeerNetwork {
  readonly address: string;

  readonly uplink: SimLink;

  readonly downlink: SimLink;

  /** Carried bytes by direction and kind of datagram. */
  readonly traffic = new Map<string, number>();

  /** Number of datagrams by direction and kind. */
  readonly messages = new Map<string, number>();

  readonly #network: SimNetwork;

  #events: PeerTransportEvents | null = null;

  #calls: AgentCalls | null = null;

  /** What waits until the process runs again; null while it runs. */
  #waiting: (() => void)[] | null = null;

  constructor(network: SimNetwork, address: string, bitsPerSecond: number) {
    this.#network = network;
    this.address = address;
    this.uplink = new SimLink(bitsPerSecond);
    this.downlink = new SimLink(bitsPerSecond);
  }

  openTransport(events: PeerTransportEvents): PeerTransport {
    this.#events = events;
    let isClosed = false;
    return {
      start: () => Promise.resolve(),
      send: (message, addresses) => {
        if (isClosed) return;
        const receivers = [...addresses];
        void this.waitUntilRunning().then(() => this.#send(message, receivers));
      },
      close: () => {
        isClosed = true;
        if (this.#events === events) this.#events = null;
      },
    };
  }

  receive(message: PeerMessage, bytes: number, from: string): void {
    this.#count(`in ${message.kind}`, bytes);
    void this.waitUntilRunning().then(() => this.#events?.onMessage(message, from));
  }

  /** Suspends the machine: what it sends and receives waits. The passes of its engine go on. */
  freeze(): void {
    this.#waiting ??= [];
  }

  thaw(): void {
    const waiting = this.#waiting ?? [];
    this.#waiting = null;
    for (const resume of waiting) resume();
  }

  async waitUntilRunning(): Promise<void> {
    if (this.#waiting === null) return;
    await new Promise<void>((resolve) => {
      this.#waiting?.push(resolve);
    });
  }

  serve(calls: AgentCalls): Promise<() => void> {
    this.#calls = {
      order: async (order, epoch) => {
        await this.waitUntilRunning();
        return calls.order(order, epoch);
      },
      readHeld: async () => {
        await this.waitUntilRunning();
        return calls.readHeld();
      },
    };
    return Promise.resolve(() => {
      this.#calls = null;
    });
  }

  openAgent(address: string): RemoteAgent {
    return {
      order: (order, epoch, timeoutMs) =>
        this.call(address, { order, epoch }, timeoutMs, (calls) => calls.order(order, epoch)),
      readHeld: (timeoutMs) => this.call(address, {}, timeoutMs, (calls) => calls.readHeld()),
      close: () => {},
    };
  }

  /** Sends a request whose answer `run` produces at the other host. */
  async call<Reply>(
    to: string,
    request: unknown,
    timeoutMs: number,
    run: (calls: AgentCalls) => Promise<Result<Reply, Failure>>,
  ): Promise<Result<Reply, Failure>> {
    const bytes = JSON.stringify(request).length;
    return new Promise((resolve) => {
      setTimeout(() => resolve(fail('outcome_unknown', 'no answer in time')), timeoutMs);
      this.#network.sendSegment(this, to, bytes, (host) => {
        if (host.#calls === null) return;
        void run(host.#calls).then((reply) => {
          const replyBytes = JSON.stringify(reply.val).length;
          this.#network.sendSegment(host, this.address, replyBytes, () => resolve(reply));
        });
      });
    });
  }

  #send(message: PeerMessage, addresses: readonly string[]): void {
    const bytes = encodePeerMessage(message).length;
    for (const to of addresses) {
      this.#count(`out ${message.kind}`, bytes);
      this.#network.sendDatagram(this, to, bytes, (host) =>
        host.receive(message, bytes, this.address),
      );
    }
  }

  /** Returns the number of datagrams in a direction. */
  countMessages(direction: 'in' | 'out'): number {
    let count = 0;
    for (const [flow, messages] of this.messages) if (flow.startsWith(direction)) count += messages;
    return count;
  }

  #count(flow: string, bytes: number): void {
    this.messages.set(flow, (this.messages.get(flow) ?? 0) + 1);
    this.traffic.set(flow, (this.traffic.get(flow) ?? 0) + bytes);
  }
}
