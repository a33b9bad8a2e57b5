import type { Failure, RankOrder, Result } from '@limpetbay/core';
import type { HeldReply } from './HeldReply.js';
import type { OrderReply } from './OrderReply.js';

/** Calls that an agent answers to other agents of its group, for messages that exceed a datagram. */
export interface AgentCalls {
  /** Sends an order to the rank that the agent serves. */
  order(order: RankOrder, epoch: number): Promise<Result<OrderReply, Failure>>;
  /** Reads the experts that the rank of the agent holds. */
  readHeld(): Promise<Result<HeldReply, Failure>>;
}
