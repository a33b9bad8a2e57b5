import type { OrderAnswer, RankOrder } from '@limpetbay/core';

/** A rank as the planner of its group reaches it. */
export interface PlannerRank {
  order(order: RankOrder, epoch: number): Promise<OrderAnswer>;
  /** Reads the status from the rank itself, for the time in which no agent sends it. */
  pollStatus(): Promise<void>;
  /** Reads the experts of the rank by set, and the version of the map. */
  readHeld(): Promise<{ readonly version: number; readonly sets: number[][] } | null>;
}
