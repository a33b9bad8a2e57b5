import type { Clock } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';
import { RoundTripEstimator } from './RoundTripEstimator.js';

type OrderMessage = Extract<PeerMessage, { kind: 'order' | 'map_order' }>;

type PeerAnswer = Extract<PeerMessage, { kind: 'answer' }>['answer'];

/** An order without the id that its answer repeats. */
type OrderContent =
  | Omit<Extract<PeerMessage, { kind: 'order' }>, 'id'>
  | Omit<Extract<PeerMessage, { kind: 'map_order' }>, 'id'>;

interface PendingOrder {
  readonly message: OrderMessage;
  readonly agent: string;
  readonly sentMs: number;
  readonly resolve: (answer: PeerAnswer | null) => void;
  readonly transmissions: number;
  readonly timer: NodeJS.Timeout;
}

const MAX_TRANSMISSIONS = 2;

/** Sends orders to other agents as datagrams, repeats unanswered ones and matches answers by id. */
export class OrderClient {
  readonly #clock: Clock;

  readonly #send: (message: PeerMessage, agent: string) => void;

  readonly #pending = new Map<number, PendingOrder>();

  readonly #roundTrips = new Map<string, RoundTripEstimator>();

  #nextId: number;

  /** @param clock also the source of the first id, so that late answers match no order */
  constructor(clock: Clock, send: (message: PeerMessage, agent: string) => void) {
    this.#clock = clock;
    this.#send = send;
    this.#nextId = clock.getWallTime().getTime();
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
    const sentMs = this.#clock.getNow();
    return new Promise((resolve) => {
      this.#transmit({ message, agent, sentMs, resolve }, 1);
    });
  }

  handleAnswer(id: number, answer: PeerAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    // The answer to a repeated order may belong to either transmission, and the answer `lost` took
    // as long as the rank did not answer its agent.
    if (pending.transmissions === 1 && answer !== 'lost') {
      const roundTripMs = this.#clock.getNow() - pending.sentMs;
      this.#getRoundTrips(pending.agent).recordRoundTrip(roundTripMs);
    }
    this.#finish(pending, answer);
  }

  #transmit(order: Omit<PendingOrder, 'transmissions' | 'timer'>, transmissions: number): void {
    const { message, agent } = order;
    const timeoutMs = this.#getRoundTrips(agent).getTimeoutMs() * 2 ** (transmissions - 1);
    const timer = setTimeout(() => this.#handleTimeout(message.id), timeoutMs);
    this.#pending.set(message.id, { ...order, transmissions, timer });
    this.#send(message, agent);
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
