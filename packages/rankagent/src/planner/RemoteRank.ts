import type {
  Clock,
  Failure,
  MapOrder,
  OrderAnswer,
  RankOrder,
  RankStatus,
  Result,
} from '@limpetbay/core';
import type { HeldReply } from '../ports/HeldReply.js';
import type { RankControl } from '../ports/RankControl.js';
import type { RemoteAgent } from '../ports/RemoteAgent.js';
import type { ArmOrder } from './ArmOrder.js';
import type { CallQueue } from './CallQueue.js';
import type { OrderClient } from './OrderClient.js';

interface RemoteRankOptions {
  readonly clock: Clock;
  /** `IP:PORT` of the rank's agent. */
  readonly agentAddress: string;
  readonly agent: RemoteAgent;
  /** The rank itself, used while its agent does not answer. */
  readonly direct: RankControl;
  readonly orders: OrderClient;
  /** Orders that carry a whole map; shared by all ranks. */
  readonly mapCalls: CallQueue;
  readonly onStatus: (status: RankStatus) => void;
  /** Returns when a message of the agent last arrived, monotonic milliseconds. */
  readonly getLastHeardMs: () => number;
  /** Returns whether the agent has been silent for so long that it will probably not answer. */
  readonly isAgentSilent: () => boolean;
}

/** Agents answer in a few milliseconds, but wait for the rank, which may not answer. */
const CALL_TIMEOUT_MS = 200;

/** Time for which orders go to the rank itself after its agent did not answer, milliseconds. */
const AGENT_BYPASS_MS = 1000;

/** Unanswered orders in a row after which an agent is bypassed although its messages arrive. */
const MAX_UNANSWERED = 4;

/** A rank that another agent serves; it is called directly while that agent is unresponsive. */
export class RemoteRank {
  readonly #options: RemoteRankOptions;

  #directUntilMs = -Infinity;

  /** Whether the next order to hold or release a pass goes to the rank itself. */
  #isBarrierDirect = true;

  /** Unanswered orders in a row. */
  #unanswered = 0;

  constructor(options: RemoteRankOptions) {
    this.#options = options;
  }

  /** Returns whether orders go to the rank itself because its agent does not answer. */
  isBypassed(): boolean {
    const { clock, isAgentSilent } = this.#options;
    return clock.getNow() < this.#directUntilMs || isAgentSilent();
  }

  /** @param mapOrder short form of an order to prepare a map, for agents that know its base */
  async order(
    order: RankOrder,
    epoch: number,
    mapOrder: MapOrder | null = null,
  ): Promise<OrderAnswer> {
    const { orders, agentAddress, mapCalls } = this.#options;
    if (this.isBypassed()) return this.#sendDirect(order, epoch);
    if (order.operation === 'hold' || order.operation === 'go') {
      return this.#sendBarrierOrder(order, epoch);
    }
    if (order.operation !== 'prepare') {
      return this.#sendOverAgent(order, epoch);
    }
    if (mapOrder !== null) {
      const answer = await this.#evaluate(() =>
        orders.send(agentAddress, { kind: 'map_order', epoch, order: mapOrder }),
      );
      if (answer !== 'unknown_base') return answer;
    }
    return mapCalls.run(() => this.#evaluate(() => this.#call(order, epoch)));
  }

  /**
   * Lets the agent of this rank arm another rank.
   *
   * @param rankAddress `IP:PORT` of that rank
   */
  async armPlanner(order: ArmOrder, epoch: number, rankAddress: string): Promise<OrderAnswer> {
    const { orders, agentAddress } = this.#options;
    const { version, step } = order;
    const answer = await this.#evaluate(() =>
      orders.send(agentAddress, { kind: 'planner_arm', epoch, version, step, rankAddress }),
    );
    return answer === 'unknown_base' ? 'lost' : answer;
  }

  async readHeld(): Promise<Result<HeldReply, Failure>> {
    const { agent, direct } = this.#options;
    if (this.isBypassed()) return direct.readHeld();
    const held = await agent.readHeld(CALL_TIMEOUT_MS);
    return held.ok ? held : direct.readHeld();
  }

  close(): void {
    this.#options.agent.close();
  }

  /** Bypasses the agent if an order stayed unanswered while the agent was silent. */
  async #evaluate<Answer>(send: () => Promise<Answer | null>): Promise<Answer | 'lost'> {
    const { clock, getLastHeardMs } = this.#options;
    const sentMs = clock.getNow();
    const answer = await send();
    if (answer !== null) {
      this.#unanswered = 0;
      return answer;
    }
    this.#unanswered += 1;
    // An agent that is heard answers late because of a full link, which more connections would fill.
    const isSilent = getLastHeardMs() < sentMs;
    if (isSilent || this.#unanswered >= MAX_UNANSWERED) {
      this.#directUntilMs = clock.getNow() + AGENT_BYPASS_MS;
    }
    return 'lost';
  }

  /**
   * Holds or releases a pass at the rank itself, because the group waits; what stays unanswered is
   * repeated over its agent, and so on in turns.
   */
  async #sendBarrierOrder(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const isDirect = this.#isBarrierDirect;
    const answer = isDirect
      ? await this.#sendDirect(order, epoch)
      : await this.#sendOverAgent(order, epoch);
    this.#isBarrierDirect = answer !== 'lost' || !isDirect;
    return answer;
  }

  async #sendOverAgent(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { orders, agentAddress } = this.#options;
    const answer = await this.#evaluate(() =>
      orders.send(agentAddress, { kind: 'order', epoch, order }),
    );
    // Only orders to prepare a map have a base.
    return answer === 'unknown_base' ? 'lost' : answer;
  }

  #sendDirect(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { direct, mapCalls } = this.#options;
    if (order.operation !== 'prepare') return direct.order(order, epoch);
    return mapCalls.run(() => direct.order(order, epoch));
  }

  async #call(order: RankOrder, epoch: number): Promise<OrderAnswer | null> {
    const { agent, onStatus } = this.#options;
    const reply = await agent.order(order, epoch, CALL_TIMEOUT_MS);
    if (reply.err) return null;
    const { answer, status } = reply.val;
    if (status !== null) onStatus(status);
    return answer;
  }
}
