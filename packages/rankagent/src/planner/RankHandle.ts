import type { MapOrder, OrderAnswer, RankOrder } from '@limpetbay/core';
import type { ArmOrder } from './ArmOrder.js';

/** A rank of the group, as the planner reads it and sends it orders. */
export interface RankHandle {
  /** Returns how orders reach the rank now; `direct` means that its agent does not answer. */
  getPath(): 'local' | 'agent' | 'direct';
  /** @param mapOrder short form of an order to prepare a map */
  order(order: RankOrder, epoch: number, mapOrder: MapOrder | null): Promise<OrderAnswer>;
  /** Lets the agent of this rank, which holds a pass, arm the rank of the calling planner. */
  armPlanner(order: ArmOrder, epoch: number): Promise<OrderAnswer>;
  /** Reads the status from the rank itself; used while its agent sends none. */
  pollStatus(): Promise<void>;
  /** Reads the rank's experts by set and the version of its map; null if that failed. */
  readHeld(): Promise<{ readonly version: number; readonly sets: number[][] } | null>;
}
