import {
  Ok,
  fail,
  type Clock,
  type Failure,
  type OrderAnswer,
  type RankOrder,
  type RankStatus,
  type Result,
} from '@limpetbay/core';
import { DirectPool, requestJson } from '@limpetbay/targets';
import { AgentReply } from '../ports/AgentReply.js';
import { HeldReply } from '../ports/HeldReply.js';
import type { RankWire } from '../ports/RankWire.js';

interface RemoteRankOptions {
  readonly clock: Clock;
  /** `IP:PORT` of the agent beside the rank. */
  readonly agentAddress: string;
  /** The rank itself, for the time in which its agent does not answer. */
  readonly direct: RankWire;
  readonly onStatus: (status: RankStatus) => void;
  /** Sends an order as a datagram. @returns `lost` where no answer came */
  readonly sendOrder: (agent: string, order: RankOrder, epoch: number) => Promise<OrderAnswer>;
}

/** Agents answer in a few milliseconds; the rank itself may leave an order unanswered. */
const CALL_TIMEOUT_MS = 200;

/** For this long a silent agent is passed over, milliseconds. */
const SILENT_AGENT_MS = 1000;

/** After this many orders without an answer the agent counts as silent. */
const MAX_LOST = 3;

/** A rank beside another agent. */
export class RemoteRank {
  readonly #options: RemoteRankOptions;

  readonly #pool: DirectPool;

  #directUntilMs = -Infinity;

  /** Orders in a row that got no answer. */
  #lost = 0;

  constructor(options: RemoteRankOptions) {
    this.#options = options;
    this.#pool = new DirectPool(options.agentAddress, options.clock);
  }

  async order(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, direct } = this.#options;
    if (clock.getNow() < this.#directUntilMs) return direct.order(order, epoch);
    // All but a map fit into a datagram, which costs a fraction of an HTTP call.
    return order.operation === 'prepare'
      ? this.#sendCall(order, epoch)
      : this.#sendDatagram(order, epoch);
  }

  async #sendDatagram(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, agentAddress, sendOrder } = this.#options;
    const answer = await sendOrder(agentAddress, order, epoch);
    this.#lost = answer === 'lost' ? this.#lost + 1 : 0;
    if (this.#lost >= MAX_LOST) this.#directUntilMs = clock.getNow() + SILENT_AGENT_MS;
    return answer;
  }

  async #sendCall(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, onStatus } = this.#options;
    const answer = await requestJson(this.#pool, {
      method: 'POST',
      url: '/order',
      body: { order, epoch },
      timeoutMs: CALL_TIMEOUT_MS,
    });
    const reply = answer.ok ? AgentReply.safeParse(answer.val.body) : null;
    if (reply === null || !reply.success) {
      this.#directUntilMs = clock.getNow() + SILENT_AGENT_MS;
      return 'lost';
    }
    if (reply.data.status !== null) onStatus(reply.data.status);
    return reply.data.answer;
  }

  async readHeld(): Promise<Result<HeldReply, Failure>> {
    const answer = await requestJson(this.#pool, {
      method: 'GET',
      url: '/held',
      timeoutMs: CALL_TIMEOUT_MS,
    });
    if (answer.err) return this.#options.direct.readHeld();
    const reply = HeldReply.safeParse(answer.val.body);
    return reply.success ? Ok(reply.data) : fail('outcome_unknown', reply.error.message);
  }

  close(): void {
    this.#pool.close();
  }
}
