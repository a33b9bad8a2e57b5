import type { Clock, OrderAnswer, RankOrder } from '@limpetbay/core';
import type { PeerMessage } from '@limpetbay/rpc';

interface PendingOrder {
  readonly resolve: (answer: OrderAnswer) => void;
  readonly timer: NodeJS.Timeout;
}

/** Agents answer in a few milliseconds; a datagram that was lost is sent again after this time. */
const TIMEOUT_MS = 80;

/** Sends orders to other agents as datagrams and matches their answers. */
export class OrderChannel {
  readonly #send: (message: PeerMessage, agent: string) => void;

  readonly #pending = new Map<number, PendingOrder>();

  #nextId: number;

  /** @param clock gives the first id, so that answers to an earlier process match nothing */
  constructor(clock: Clock, send: (message: PeerMessage, agent: string) => void) {
    this.#send = send;
    this.#nextId = clock.getWallTime().getTime();
  }

  send(agent: string, order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const id = this.#nextId;
    this.#nextId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.acceptAnswer(id, 'lost'), TIMEOUT_MS);
      this.#pending.set(id, { resolve, timer });
      this.#send({ kind: 'order', id, epoch, order }, agent);
    });
  }

  acceptAnswer(id: number, answer: OrderAnswer): void {
    const pending = this.#pending.get(id);
    if (pending === undefined) return;
    this.#pending.delete(id);
    clearTimeout(pending.timer);
    pending.resolve(answer);
  }
}
