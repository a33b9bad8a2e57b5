import type { Failure, OrderAnswer, RankOrder, RankStatus, Result } from '@limpetbay/core';

/** Interface to one rank of a lock-step group; each deployment implements it. */
export interface RankControl {
  /** Reads the status of the rank; `passMs` stays 0, because it is computed from several readings. */
  readStatus(): Promise<Result<RankStatus, Failure>>;
  /** Reads how often this rank chose each expert since it started, by set, then by expert. */
  readCounts(): Promise<Result<{ readonly counts: readonly number[] }, Failure>>;
  /** Reads the experts that the rank holds, by set, and the version of their map. */
  readHeld(): Promise<Result<{ readonly version: number; readonly sets: number[][] }, Failure>>;
  /**
   * Sends an order to the rank.
   *
   * @param epoch epoch (formation of the group) to which the order belongs
   * @returns `lost` if no answer arrived, so that the order may have been carried out
   */
  order(order: RankOrder, epoch: number): Promise<OrderAnswer>;
}
