import type { LayerPlacement } from './LayerPlacement.js';
import type { PlacementCandidate } from './PlacementCandidate.js';
import { countMoves } from './countMoves.js';

/** Experts replaced on one or two ranks; applied together. */
type Exchange = readonly { readonly rank: number; readonly drop: number; readonly add: number }[];

interface SearchLimits {
  readonly targetSkew: number;
  readonly maxMoves: number;
  /** Copies that a rank has memory to load in addition to its running ones. */
  readonly maxLoadsPerRank: number;
}

/** Number of least loaded ranks that may receive a copy; the search time grows with it. */
const LEAST_LOADED_RANKS = 48;

/** Number of most loaded ranks tried before the search ends in a local minimum. */
const MOST_LOADED_RANKS = 4;

/**
 * Computes the penalty for a rank's load, relative to the mean, as its 32nd power. The sum over all
 * ranks decreases when one of several equally loaded ranks improves, which the maximum would not;
 * the exponent determines how strongly the most loaded ranks dominate.
 */
function computeLoadPenalty(load: number): number {
  const x2 = load * load;
  const x4 = x2 * x2;
  const x8 = x4 * x4;
  const x16 = x8 * x8;
  return x16 * x16;
}

/**
 * Local search for a placement with less skew. Each round applies the exchange with the highest
 * gain per copy to load. Deterministic.
 */
export class PlacementSearch {
  readonly #startLayer: LayerPlacement;

  readonly #activeLayer: LayerPlacement;

  readonly #limits: SearchLimits;

  /** Load by expert, relative to the load of the mean rank. */
  readonly #loads: number[];

  /** Experts by rank. */
  readonly #layout: number[][];

  /** Experts by rank, as sets. */
  readonly #heldSets: Set<number>[];

  /** Experts by rank in the active placement. */
  readonly #activeExpertSets: Set<number>[];

  /** Ranks that hold a copy, by expert. */
  readonly #copyRanks: number[][] = [];

  readonly #rankLoads: number[];

  /** Load change by rank for the exchange being evaluated; reused to avoid allocations. */
  readonly #loadChanges: Float64Array;

  /** Ranks with an entry in `#loadChanges`. */
  readonly #changedRanks: number[] = [];

  /**
   * @param layer placement from which the search starts
   * @param loads load by expert id, any unit; their sum must be positive
   * @param activeLayer active placement, relative to which moves are counted
   */
  constructor(
    layer: LayerPlacement,
    loads: ArrayLike<number>,
    limits: SearchLimits,
    activeLayer: LayerPlacement = layer,
  ) {
    this.#startLayer = { ranks: layer.ranks };
    this.#activeLayer = activeLayer;
    this.#limits = limits;
    const rawLoads = Array.from(loads);
    const mean = rawLoads.reduce((sum, load) => sum + load, 0) / layer.ranks.length;
    this.#loads = rawLoads.map((load) => load / mean);
    this.#layout = layer.ranks.map((slots) => [...slots]);
    this.#heldSets = layer.ranks.map((slots) => new Set(slots));
    this.#activeExpertSets = activeLayer.ranks.map((slots) => new Set(slots));
    this.#rankLoads = layer.ranks.map(() => 0);
    this.#loadChanges = new Float64Array(layer.ranks.length);
    for (const [rank, slots] of layer.ranks.entries()) {
      for (const expert of slots) (this.#copyRanks[expert] ??= []).push(rank);
    }
    this.#computeRankLoads();
  }

  /** Runs the search. @returns the start placement and the one after each round */
  run(): PlacementCandidate[] {
    const moves = countMoves(this.#activeLayer, this.#startLayer);
    const candidates: PlacementCandidate[] = [
      { layer: this.#startLayer, skew: this.#getSkew(), moves },
    ];
    for (let round = 0; round < 4 * this.#limits.maxMoves; round += 1) {
      if (this.#getSkew() <= this.#limits.targetSkew) break;
      const exchange = this.#findExchange();
      if (exchange === null) break;
      this.#applyExchange(exchange);
      const layer = { ranks: this.#layout.map((slots) => [...slots]) };
      candidates.push({
        layer,
        skew: this.#getSkew(),
        moves: countMoves(this.#activeLayer, layer),
      });
    }
    return candidates;
  }

  #getSkew(): number {
    return Math.max(...this.#rankLoads);
  }

  #computeRankLoads(): void {
    for (const [rank, slots] of this.#layout.entries()) {
      let sum = 0;
      for (const expert of slots) sum += this.#getCopyLoad(expert, 0);
      this.#rankLoads[rank] = sum;
    }
  }

  /** Returns the load of one copy if the expert had `extraCopies` more copies. */
  #getCopyLoad(expert: number, extraCopies: number): number {
    return (this.#loads[expert] ?? 0) / ((this.#copyRanks[expert]?.length ?? 0) + extraCopies);
  }

  #findExchange(): Exchange | null {
    const ranksByLoad = [...this.#rankLoads.keys()].sort(
      (a, b) => (this.#rankLoads[b] ?? 0) - (this.#rankLoads[a] ?? 0) || a - b,
    );
    const cold = ranksByLoad.slice(-LEAST_LOADED_RANKS).reverse();
    const movesSoFar = countMoves(this.#activeLayer, { ranks: this.#layout });
    for (const hot of ranksByLoad.slice(0, MOST_LOADED_RANKS)) {
      const best = this.#chooseExchange(this.#listExchanges(hot, cold), movesSoFar);
      if (best !== null) return best;
    }
    return null;
  }

  #chooseExchange(exchanges: Iterable<Exchange>, movesSoFar: number): Exchange | null {
    let best: Exchange | null = null;
    let bestGain = 1e-9;
    for (const exchange of exchanges) {
      const copiesToLoad = this.#countCopiesToLoad(exchange);
      if (copiesToLoad === null || movesSoFar + copiesToLoad > this.#limits.maxMoves) continue;
      // An exchange that reverts an earlier one loads no copy. It counts as half a copy, as the
      // gain cannot be divided by zero.
      const gain = this.#computeGain(exchange) / Math.max(copiesToLoad, 0.5);
      if (gain > bestGain) {
        best = exchange;
        bestGain = gain;
      }
    }
    return best;
  }

  *#listExchanges(hot: number, cold: readonly number[]): Generator<Exchange> {
    for (const expert of this.#layout[hot] ?? []) {
      for (const rank of cold) {
        if (rank === hot || this.#heldSets[rank]?.has(expert)) continue;
        for (const other of this.#layout[rank] ?? []) {
          // Replaces a copy of an expert that has other copies by a further copy of the hot expert.
          if ((this.#copyRanks[other]?.length ?? 0) > 1) yield [{ rank, drop: other, add: expert }];
          if (this.#heldSets[hot]?.has(other)) continue;
          yield [
            { rank: hot, drop: expert, add: other },
            { rank, drop: other, add: expert },
          ];
        }
      }
      if ((this.#copyRanks[expert]?.length ?? 0) < 2) continue;
      for (let other = 0; other < this.#loads.length; other += 1) {
        if (!this.#heldSets[hot]?.has(other)) yield [{ rank: hot, drop: expert, add: other }];
      }
    }
  }

  /** Counts the additional copies to load for an exchange; null if a rank lacks the memory. */
  #countCopiesToLoad(exchange: Exchange): number | null {
    let copiesToLoad = 0;
    for (const change of exchange) {
      const active = this.#activeExpertSets[change.rank];
      if (active === undefined) return null;
      if (!active.has(change.drop)) copiesToLoad -= 1;
      if (active.has(change.add)) continue;
      copiesToLoad += 1;
      if (!active.has(change.drop)) continue;
      let loaded = 1;
      for (const expert of this.#layout[change.rank] ?? []) if (!active.has(expert)) loaded += 1;
      if (loaded > this.#limits.maxLoadsPerRank) return null;
    }
    return copiesToLoad;
  }

  /** Adds the load change on an expert's current ranks when its number of copies changes. */
  #addCopyCountChange(expert: number, extraCopies: number): void {
    const change = this.#getCopyLoad(expert, extraCopies) - this.#getCopyLoad(expert, 0);
    for (const rank of this.#copyRanks[expert] ?? []) this.#addLoadChange(rank, change);
  }

  #addLoadChange(rank: number, load: number): void {
    if (this.#loadChanges[rank] === 0) this.#changedRanks.push(rank);
    this.#loadChanges[rank] = (this.#loadChanges[rank] ?? 0) + load;
  }

  #computeGain(exchange: Exchange): number {
    const [first] = exchange;
    if (exchange.length === 1 && first !== undefined) {
      this.#addCopyCountChange(first.drop, -1);
      this.#addCopyCountChange(first.add, 1);
      this.#addLoadChange(first.rank, this.#getCopyLoad(first.add, 1));
      this.#addLoadChange(first.rank, -this.#getCopyLoad(first.drop, -1));
    } else {
      // A swap does not change the number of copies of either expert.
      for (const { rank, drop, add: added } of exchange) {
        this.#addLoadChange(rank, this.#getCopyLoad(added, 0) - this.#getCopyLoad(drop, 0));
      }
    }
    const changedRanks = this.#changedRanks;
    let gain = 0;
    for (const rank of changedRanks) {
      const change = this.#loadChanges[rank] ?? 0;
      this.#loadChanges[rank] = 0;
      if (change === 0) continue;
      const load = this.#rankLoads[rank] ?? 0;
      gain += computeLoadPenalty(load) - computeLoadPenalty(load + change);
    }
    changedRanks.length = 0;
    return gain;
  }

  #applyExchange(exchange: Exchange): void {
    for (const { rank, drop, add: added } of exchange) {
      const slots = this.#layout[rank] ?? [];
      slots[slots.indexOf(drop)] = added;
      this.#heldSets[rank]?.delete(drop);
      this.#heldSets[rank]?.add(added);
      const remainingRanks = this.#copyRanks[drop] ?? [];
      remainingRanks.splice(remainingRanks.indexOf(rank), 1);
      this.#copyRanks[added]?.push(rank);
    }
    this.#computeRankLoads();
  }
}
