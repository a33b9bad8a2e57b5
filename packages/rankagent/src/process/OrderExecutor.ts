import {
  createInitialMap,
  type EngineModel,
  type ExpertSets,
  type MapOrder,
  type OrderAnswer,
  type RankOrder,
} from '@limpetbay/core';
import { MapCache } from '../maps/MapCache.js';
import { applyMapOrder } from '../maps/applyMapOrder.js';
import type { RankControl } from '../ports/RankControl.js';

interface OrderExecutorOptions {
  readonly rank: RankControl;
  /** Returns the number of ranks of the group; null while it is unknown. */
  readonly getGroupSize: () => number | null;
  /** Returns the rank; null while it is unknown. */
  readonly getOwnRank: () => number | null;
  /**
   * Called after the rank began to load a map.
   *
   * @param expectedMs time that loading takes; 0 if it is not known
   */
  readonly onLoading: (expectedMs: number) => void;
}

/** Passes orders to the rank of this agent and derives the maps that orders describe. */
export class OrderExecutor {
  readonly #options: OrderExecutorOptions;

  /** Maps that the rank was ordered to prepare. */
  readonly #maps = new MapCache();

  #model: EngineModel['experts'] = null;

  constructor(options: OrderExecutorOptions) {
    this.#options = options;
  }

  setModel(model: EngineModel['experts']): void {
    this.#model = model;
  }

  /** Forgets the maps of the previous group. */
  clear(): void {
    this.#maps.clear();
  }

  /** @param base map that the rank has while it loads the one of the order; null if not known */
  async execute(
    order: RankOrder,
    epoch: number,
    base: ExpertSets | null = null,
  ): Promise<OrderAnswer> {
    const answer = await this.#options.rank.order(order, epoch);
    if (order.operation === 'prepare' && answer === 'done') {
      this.#maps.add(epoch, order.version, order.sets);
      this.#options.onLoading(this.#estimateLoadingMs(base, order.sets));
    }
    return answer;
  }

  /** @returns `unknown_base` if this process cannot derive the map and needs the whole one */
  async executeMapOrder(order: MapOrder, epoch: number): Promise<OrderAnswer | 'unknown_base'> {
    const base = this.findMap(epoch, order.baseVersion);
    const sets = base === null ? null : applyMapOrder(base, order);
    if (sets === null) return 'unknown_base';
    return this.execute({ operation: 'prepare', version: order.version, sets }, epoch, base);
  }

  #estimateLoadingMs(base: ExpertSets | null, next: ExpertSets): number {
    const rank = this.#options.getOwnRank();
    if (base === null || rank === null || this.#model === null) return 0;
    let copies = 0;
    for (const [set, ranks] of next.entries()) {
      const held = new Set(base[set]?.[rank]);
      for (const expert of ranks[rank] ?? []) if (!held.has(expert)) copies += 1;
    }
    return copies * this.#model.copyMs;
  }

  /** Returns a map that this process knows; null if it was prepared before it started. */
  findMap(epoch: number, version: number): ExpertSets | null {
    if (version !== 0) return this.#maps.find(epoch, version);
    const size = this.#options.getGroupSize();
    if (this.#model === null || size === null) return null;
    return createInitialMap(this.#model.sets, this.#model.count, size);
  }
}
