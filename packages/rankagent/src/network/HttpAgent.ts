import {
  Ok,
  describeIssue,
  fail,
  type BodyBudget,
  type Clock,
  type Failure,
  type RankOrder,
  type Result,
} from '@limpetbay/core';
import { DirectPool, requestJson } from '@limpetbay/targets';
import type { z } from 'zod';
import { HeldReply } from '../ports/HeldReply.js';
import { OrderReply } from '../ports/OrderReply.js';
import type { RemoteAgent } from '../ports/RemoteAgent.js';

/** Longer than the experts of the largest model that one rank holds. */
const MAX_ANSWER_BYTES = 4_194_304;

/** Calls to the HTTP server of another agent. */
export class HttpAgent implements RemoteAgent {
  readonly #pool: DirectPool;

  readonly #bodyBudget: BodyBudget;

  /** @param address `IP:PORT` @param bodyBudget limits the memory of all answers */
  constructor(address: string, clock: Clock, bodyBudget: BodyBudget) {
    this.#pool = new DirectPool(address, clock);
    this.#bodyBudget = bodyBudget;
  }

  order(order: RankOrder, epoch: number, timeoutMs: number): Promise<Result<OrderReply, Failure>> {
    return this.#call('POST', '/order', OrderReply, timeoutMs, { order, epoch });
  }

  readHeld(timeoutMs: number): Promise<Result<HeldReply, Failure>> {
    return this.#call('GET', '/held', HeldReply, timeoutMs);
  }

  close(): void {
    this.#pool.close();
  }

  async #call<Schema extends z.ZodType>(
    method: string,
    url: string,
    schema: Schema,
    timeoutMs: number,
    body?: unknown,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    const answer = await requestJson(this.#pool, {
      ...{ method, url, body, timeoutMs },
      maxBodyBytes: MAX_ANSWER_BYTES,
      bodyBudget: this.#bodyBudget,
    });
    if (answer.err) return answer;
    const reply = schema.safeParse(answer.val.body);
    return reply.success ? Ok(reply.data) : fail('outcome_unknown', describeIssue(reply.error));
  }
}
