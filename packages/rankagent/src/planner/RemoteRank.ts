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
}

/** Agents answer in a few milliseconds; the rank itself may leave an order unanswered. */
const CALL_TIMEOUT_MS = 200;

/** For this long a silent agent is passed over, milliseconds. */
const SILENT_AGENT_MS = 1000;

/** A rank beside another agent. */
export class RemoteRank {
  readonly #options: RemoteRankOptions;

  readonly #pool: DirectPool;

  #directUntilMs = -Infinity;

  constructor(options: RemoteRankOptions) {
    this.#options = options;
    this.#pool = new DirectPool(options.agentAddress, options.clock);
  }

  async order(order: RankOrder, epoch: number): Promise<OrderAnswer> {
    const { clock, direct, onStatus } = this.#options;
    if (clock.getNow() < this.#directUntilMs) return direct.order(order, epoch);
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
