import type { Failure, OrderAnswer, RankOrder, RankStatus, Result } from '@limpetbay/core';

/** One rank of a lock-step group, over the interface of its deployment. */
export interface RankWire {
  /** `passMs` is left at 0; it follows from two readings. */
  readStatus(): Promise<Result<RankStatus, Failure>>;
  /** Reads how often each expert was chosen at this rank since its start, set after set. */
  readCounts(): Promise<Result<{ readonly counts: readonly number[] }, Failure>>;
  /** Reads which experts the rank holds of each set, and under which version. */
  readHeld(): Promise<Result<{ readonly version: number; readonly sets: number[][] }, Failure>>;
  /** @param epoch formation of the group to which the order belongs */
  order(order: RankOrder, epoch: number): Promise<OrderAnswer>;
}
