import type { Clock, Failure, OrderAnswer, RankOrder, RankStatus, Result } from '@limpetbay/core';
import type { HeldReply } from '../ports/HeldReply.js';
import type { RankControl } from '../ports/RankControl.js';
import type { RemoteAgent } from '../ports/RemoteAgent.js';

interface RemoteRankOptions {
  readonly clock: Clock;
  /** `IP:PORT` of the rank's agent. */
  readonly agentAddress: string;
  readonly agent: RemoteAgent;
  /** The rank itself, used while its agent does not answer. */
  readonly direct: RankControl;
  readonly onStatus: (status: RankStatus) => void;
  /** Sends an order as a datagram. @returns `lost` if no answer arrived in time */
  readonly sendOrder: (agent: string, order: RankOrder, epoch: number) => Promise<OrderAnswer>;
}

/** Agents answer in a few milliseconds, but wait for the rank, which may not answer. */
const CALL_TIMEOUT_MS = 200;

/** Time for which orders go to the rank itself after its agent did not answer, milliseconds. */
const AGENT_BYPASS_MS = 1000;

/** Unanswered orders in a row after which the agent counts as unresponsive. */
const MAX_UNANSWERED = 3;

/** A rank that another agent serves; it is called directly while that agent is unresponsive. */
export class RemoteRank {
  readonly #options: RemoteRankOptions;

  #directUntilMs = -Infinity;

  /** Unanswered orders in a row. */
  #unanswered = 0;

  constructor(options: RemoteRankOptions) {
    this.#options = options;
  }

  /** Returns whether orders go to the rank itself because its agent did not answer. */
  isBypassed(): boolean {
    return this.#options.clock.getNow() < this.#directUntilMs;
  }

  async order(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    if (this.isBypassed()) return this.#options.direct.order(order, epoch);
    // Only a map is too large for a datagram, which costs a fraction of an HTTP call.
    return order.operation === 'prepare'
      ? this.#sendCall(order, epoch)
      : this.#sendDatagram(order, epoch);
  }

  async #sendDatagram(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, agentAddress, sendOrder } = this.#options;
    const answer = await sendOrder(agentAddress, order, epoch);
    this.#unanswered = answer === 'lost' ? this.#unanswered + 1 : 0;
    if (this.#unanswered >= MAX_UNANSWERED) this.#directUntilMs = clock.getNow() + AGENT_BYPASS_MS;
    return answer;
  }

  async #sendCall(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, agent, onStatus } = this.#options;
    const reply = await agent.order(order, epoch, CALL_TIMEOUT_MS);
    if (reply.err) {
      this.#directUntilMs = clock.getNow() + AGENT_BYPASS_MS;
      return 'lost';
    }
    const { answer, status } = reply.val;
    if (status !== null) onStatus(status);
    return answer;
  }

  async readHeld(): Promise<Result<HeldReply, Failure>> {
    const held = await this.#options.agent.readHeld(CALL_TIMEOUT_MS);
    return held.ok ? held : this.#options.direct.readHeld();
  }

  close(): void {
    this.#options.agent.close();
  }
}
