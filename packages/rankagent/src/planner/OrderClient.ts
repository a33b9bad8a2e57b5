import type { Clock } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import type { LinkPacer } from './LinkPacer.js';
import { RoundTripEstimator } from './RoundTripEstimator.js';

type OrderMessage = Extract<PeerMessage, { kind: 'order' | 'map_order' | 'planner_arm' }>;

type PeerAnswer = Extract<PeerMessage, { kind: 'answer' }>['answer'];

/** An order without the id that its answer repeats. */
type OrderContent =
  | Omit<Extract<PeerMessage, { kind: 'order' }>, 'id'>
  | Omit<Extract<PeerMessage, { kind: 'map_order' }>, 'id'>
  | Omit<Extract<PeerMessage, { kind: 'planner_arm' }>, 'id'>;

type MapOrderMessage = Extract<PeerMessage, { kind: 'map_order' }>;

interface NewOrder<Message extends OrderMessage = OrderMessage> {
  readonly message: Message;
  readonly agent: string;
  readonly resolve: (answer: PeerAnswer | null) => void;
}

interface PendingOrder extends NewOrder {
  readonly sentMs: number;
  readonly transmissions: number;
  readonly isRelayed: boolean;
  readonly timer: NodeJS.Timeout;
}

interface OrderClientOptions {
  /** Also the source of the first id, so that answers to an earlier process match no order. */
  readonly clock: Clock;
  readonly pacer: LinkPacer;
  readonly send: (message: PeerMessage, agent: string) => void;
}

const MAX_TRANSMISSIONS = 2;

/** As many map orders or fewer are sent to the agents themselves; more go over relays. */
const MAX_DIRECT_MAP_ORDERS = 8;

/** Time in which a relay receives and forwards orders besides that for its link, milliseconds. */
const RELAY_MS = 40;

/** Sends orders to other agents as datagrams, repeats unanswered ones and matches answers by id. */
export class OrderClient {
  readonly #options: OrderClientOptions;

  readonly #pending = new Map<number, PendingOrder>();

  /** Orders to prepare a map that were sent since the process last waited. */
  #mapOrders: NewOrder<MapOrderMessage>[] = [];

  readonly #roundTrips = new Map<string, RoundTripEstimator>();

  #nextId: number;

  constructor(options: OrderClientOptions) {
    this.#options = options;
    this.#nextId = options.clock.getWallTime().getTime();
  }

  /**
   * Sends an order and waits for its answer.
   *
   * @param agent `IP:PORT` of the agent
   * @returns null if no answer arrived; the order may still be carried out
   */
  send(agent: string, content: OrderContent): Promise<PeerAnswer | null> {
    const id = this.#nextId;
    this.#nextId += 1;
    const message: OrderMessage = { ...content, id };
    return new Promise((resolve) => {
      if (message.kind === 'map_order') this.#collect({ message, agent, resolve });
      else this.#transmit({ message, agent, resolve }, 1);
    });
  }

  handleAnswer(id: number, answer: PeerAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    // The answer to a repeated order may belong to either transmission, and the answer `lost` took
    // as long as the rank did not answer its agent.
    const isRepeated = pending.transmissions > 1;
    if (!isRepeated && !pending.isRelayed && answer !== 'lost') {
      const roundTripMs = this.#options.clock.getNow() - pending.sentMs;
      this.#getRoundTrips(pending.agent).recordRoundTrip(roundTripMs);
    }
    this.#finish(pending, answer);
  }

  /** Collects the map orders that a planner sends at once. */
  #collect(order: NewOrder<MapOrderMessage>): void {
    this.#mapOrders.push(order);
    if (this.#mapOrders.length === 1) queueMicrotask(() => this.#sendMapOrders());
  }

  /**
   * Sends the same map to many agents over some of them, because the link of the planner would be
   * busy with all of the orders for as long as the rest of the change takes.
   */
  #sendMapOrders(): void {
    const orders = this.#mapOrders;
    this.#mapOrders = [];
    const [first] = orders;
    if (first === undefined) return;
    const isSame = ({ message }: NewOrder<MapOrderMessage>): boolean =>
      message.order === first.message.order && message.epoch === first.message.epoch;
    if (orders.length <= MAX_DIRECT_MAP_ORDERS || !orders.every(isSame)) {
      for (const order of orders) this.#transmit(order, 1);
      return;
    }
    const groupSize = Math.ceil(Math.sqrt(orders.length));
    for (let start = 0; start < orders.length; start += groupSize) {
      this.#relay(orders.slice(start, start + groupSize));
    }
  }

  /** Sends orders over the agent of the first one. */
  #relay(orders: readonly NewOrder<MapOrderMessage>[]): void {
    const { clock, pacer, send } = this.#options;
    const [first] = orders;
    if (first === undefined) return;
    const { epoch, order } = first.message;
    const receivers = orders.map(({ message, agent }) => ({ id: message.id, agent }));
    const message = { kind: 'map_relay', epoch, order, receivers } as const;
    const bytes = JSON.stringify(message).length;
    const delayMs = pacer.reserve(bytes);
    // The links of the relay and of this process are alike.
    const relayMs = RELAY_MS + pacer.getDurationMs(bytes * receivers.length);
    for (const relayed of orders) {
      const timeoutMs = relayMs + this.#getRoundTrips(relayed.agent).getTimeoutMs();
      const timer = setTimeout(() => this.#handleTimeout(relayed.message.id), delayMs + timeoutMs);
      this.#pending.set(relayed.message.id, {
        ...relayed,
        sentMs: clock.getNow() + delayMs,
        transmissions: 1,
        isRelayed: true,
        timer,
      });
    }
    if (delayMs === 0) send(message, first.agent);
    else setTimeout(() => send(message, first.agent), delayMs);
  }

  #transmit({ message, agent, resolve }: NewOrder, transmissions: number): void {
    const { clock, pacer, send } = this.#options;
    const order = { message, agent, resolve, isRelayed: false };
    const delayMs = pacer.reserve(JSON.stringify(message).length);
    const timeoutMs = this.#getRoundTrips(agent).getTimeoutMs() * 2 ** (transmissions - 1);
    const timer = setTimeout(() => this.#handleTimeout(message.id), delayMs + timeoutMs);
    const sentMs = clock.getNow() + delayMs;
    this.#pending.set(message.id, { ...order, sentMs, transmissions, timer });
    if (delayMs === 0) send(message, agent);
    else setTimeout(() => send(message, agent), delayMs);
  }

  #handleTimeout(id: number): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    if (pending.transmissions === MAX_TRANSMISSIONS) this.#finish(pending, null);
    else this.#transmit(pending, pending.transmissions + 1);
  }

  #finish({ message, timer, resolve }: PendingOrder, answer: PeerAnswer | null): void {
    this.#pending.delete(message.id);
    clearTimeout(timer);
    resolve(answer);
  }

  #getRoundTrips(agent: string): RoundTripEstimator {
    let estimator = this.#roundTrips.get(agent);
    if (estimator === undefined) {
      estimator = new RoundTripEstimator();
      this.#roundTrips.set(agent, estimator);
    }
    return estimator;
  }
}
