import type { Clock, OrderAnswer, RankOrder } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';

interface PendingOrder {
  readonly resolve: (answer: OrderAnswer) => void;
  readonly timer: NodeJS.Timeout;
}

/** Agents answer in a few milliseconds; an order without an answer by then is sent again. */
const ANSWER_TIMEOUT_MS = 80;

/** Sends orders to other agents as datagrams and matches the answers by id. */
export class OrderClient {
  readonly #send: (message: PeerMessage, agent: string) => void;

  readonly #pending = new Map<number, PendingOrder>();

  #nextId: number;

  /** @param clock source of the first id, so that answers to an earlier process match no order */
  constructor(clock: Clock, send: (message: PeerMessage, agent: string) => void) {
    this.#send = send;
    this.#nextId = clock.getWallTime().getTime();
  }

  /**
   * Sends an order and waits for its answer.
   *
   * @param agent `IP:PORT` of the agent
   * @returns `lost` if no answer arrived in time
   */
  send(agent: string, order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.handleAnswer(id, 'lost'), ANSWER_TIMEOUT_MS);
      this.#pending.set(id, { resolve, timer });
      this.#send({ kind: 'order', id, epoch, order }, agent);
    });
  }

  handleAnswer(id: number, answer: OrderAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    clearTimeout(pending.timer);
    pending.resolve(answer);
  }
}
