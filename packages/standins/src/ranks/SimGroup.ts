import type { OrderAnswer, RankOrder, RankStatus } from '@limpetbay/core';
import { SimRank } from './SimRank.js';

/**
 * A simulated lock-step group. While it has work, it begins a pass at every tick unless a rank holds
 * that pass.
 */
export class SimGroup {
  readonly ranks: SimRank[];

  nowTicks = 0;

  /** Epoch of the group; incremented at each restart. */
  epoch = 1;

  /** Whether all ranks are available; no pass begins otherwise. */
  isOpen = true;

  /** Whether the group has requests; without, it loads maps and takes orders but begins no passes. */
  hasWork = true;

  /** Number of passes that began while ranks had different maps. */
  mixedPasses = 0;

  /** Number of ticks since the last pass in which a hold prevented the next one. */
  stalledTicks = 0;

  readonly #loadTicks: number;

  constructor(size: number, loadTicks: number) {
    this.#loadTicks = loadTicks;
    this.ranks = Array.from({ length: size }, () => new SimRank());
  }

  tick(): void {
    this.nowTicks += 1;
    if (!this.isOpen) return;
    for (const rank of this.ranks) {
      if (rank.loading === null || rank.loading.readyAt > this.nowTicks) continue;
      rank.prepared = rank.loading.version;
      rank.loading = null;
    }
    if (!this.hasWork) {
      this.stalledTicks = 0;
      return;
    }
    const nextPass = (this.ranks[0]?.step ?? 0) + 1;
    if (this.ranks.some(({ held }) => held === nextPass)) {
      this.stalledTicks += 1;
      return;
    }
    this.stalledTicks = 0;
    for (const rank of this.ranks) {
      rank.step = nextPass;
      if (rank.armed?.step !== nextPass) continue;
      rank.map = rank.armed.version;
      rank.armed = null;
      rank.prepared = null;
    }
    if (new Set(this.ranks.map(({ map }) => map)).size > 1) this.mixedPasses += 1;
  }

  /** Restarts the group: all ranks begin with the initial map and nothing prepared. */
  restart(): void {
    this.epoch += 1;
    this.isOpen = true;
    for (const index of this.ranks.keys()) this.ranks[index] = new SimRank();
  }

  apply(index: number, order: RankOrder): OrderAnswer {
    const rank = this.ranks[index] as SimRank;
    switch (order.operation) {
      case 'prepare':
        return rank.prepare(order.version, this.nowTicks + this.#loadTicks);
      case 'arm':
        return rank.arm(order.version, order.step);
      case 'disarm':
        return rank.disarm(order.version);
      case 'hold':
        return rank.hold(order.step);
      default:
        return rank.release(order.step);
    }
  }

  readStatus(index: number): RankStatus {
    const rank = this.ranks[index] as SimRank;
    return {
      address: `10.0.0.${index}:1`,
      group: 'g',
      epoch: this.epoch,
      rank: index,
      size: this.ranks.length,
      isOpen: this.isOpen,
      active: 0,
      queued: 0,
      kvUsed: 0,
      kvTotal: 1,
      step: rank.step,
      map: rank.map,
      prepared: rank.prepared,
      armed: rank.armed,
      held: rank.held,
      isBusy: rank.loading !== null,
      passMs: 1,
    };
  }
}
