import type { Failure, RankOrder, Result } from '@limpetbay/core';
import type { HeldReply } from './HeldReply.js';
import type { OrderReply } from './OrderReply.js';

/** Calls to another agent; each fails if no complete reply arrives within `timeoutMs`. */
export interface RemoteAgent {
  order(order: RankOrder, epoch: number, timeoutMs: number): Promise<Result<OrderReply, Failure>>;
  readHeld(timeoutMs: number): Promise<Result<HeldReply, Failure>>;
  close(): void;
}
