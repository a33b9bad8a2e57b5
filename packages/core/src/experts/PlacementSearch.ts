import type { LayerPlacement } from './LayerPlacement.js';
import type { SearchStep } from './SearchStep.js';
import { countMoves } from './countMoves.js';

/** One exchange of experts: rank, expert that leaves, expert that comes. */
type Exchange = readonly { readonly rank: number; readonly out: number; readonly in: number }[];

interface SearchLimits {
  readonly targetSkew: number;
  readonly maxMoves: number;
  /** Copies that one rank may load beside its running ones. */
  readonly maxLoadsPerRank: number;
}

/** Ranks to which a copy may be added; the coldest ones, because the work grows with their number. */
const COLD_RANKS = 48;

/** Hottest ranks that are tried before the search ends in a local minimum. */
const HOT_RANKS = 4;

/**
 * Weighs a rank's load relative to the mean. The sum over ranks falls when a hot rank cools, even
 * while another rank is equally hot; the power decides how far the hottest ranks dominate.
 */
function scoreLoad(load: number): number {
  const x2 = load * load;
  const x4 = x2 * x2;
  const x8 = x4 * x4;
  const x16 = x8 * x8;
  return x16 * x16;
}

/**
 * Local search from the placement in force: each step is the exchange with the best gain for each
 * copy that must be loaded. Deterministic.
 */
export class PlacementSearch {
  readonly #start: LayerPlacement;

  readonly #inForce: LayerPlacement;

  readonly #limits: SearchLimits;

  /** Load by expert in units of the mean rank. */
  readonly #loads: number[];

  readonly #ranks: number[][];

  readonly #held: Set<number>[];

  readonly #original: Set<number>[];

  readonly #holders: number[][] = [];

  readonly #rankLoads: number[];

  /** Scratch: change of the load by rank in the exchange under test, and the ranks it touches. */
  readonly #delta: Float64Array;

  readonly #touched: number[] = [];

  /**
   * @param layer where the search starts
   * @param loads load by expert id, any unit; their sum must be positive
   * @param inForce the placement against which moves count
   */
  constructor(
    layer: LayerPlacement,
    loads: ArrayLike<number>,
    limits: SearchLimits,
    inForce: LayerPlacement = layer,
  ) {
    this.#start = { ranks: layer.ranks };
    this.#inForce = inForce;
    this.#limits = limits;
    const all = Array.from(loads);
    const mean = all.reduce((sum, load) => sum + load, 0) / layer.ranks.length;
    this.#loads = all.map((load) => load / mean);
    this.#ranks = layer.ranks.map((slots) => [...slots]);
    this.#held = layer.ranks.map((slots) => new Set(slots));
    this.#original = inForce.ranks.map((slots) => new Set(slots));
    this.#rankLoads = layer.ranks.map(() => 0);
    this.#delta = new Float64Array(layer.ranks.length);
    for (const [rank, slots] of layer.ranks.entries()) {
      for (const expert of slots) (this.#holders[expert] ??= []).push(rank);
    }
    this.#rebuildLoads();
  }

  /** Runs the search. @returns the placements on the way, from the start on */
  run(): SearchStep[] {
    const moves = countMoves(this.#inForce, this.#start);
    const steps: SearchStep[] = [{ layer: this.#start, skew: this.#getSkew(), moves }];
    for (let round = 0; round < 4 * this.#limits.maxMoves; round += 1) {
      if (this.#getSkew() <= this.#limits.targetSkew) break;
      const exchange = this.#findExchange();
      if (exchange === null) break;
      this.#apply(exchange);
      const layer = { ranks: this.#ranks.map((slots) => [...slots]) };
      steps.push({ layer, skew: this.#getSkew(), moves: countMoves(this.#inForce, layer) });
    }
    return steps;
  }

  #getSkew(): number {
    return Math.max(...this.#rankLoads);
  }

  #rebuildLoads(): void {
    for (const [rank, slots] of this.#ranks.entries()) {
      let sum = 0;
      for (const expert of slots) sum += this.#getCopyLoad(expert, 0);
      this.#rankLoads[rank] = sum;
    }
  }

  /** Load of one copy when the expert has `more` copies than now. */
  #getCopyLoad(expert: number, more: number): number {
    return (this.#loads[expert] ?? 0) / ((this.#holders[expert]?.length ?? 0) + more);
  }

  #findExchange(): Exchange | null {
    const order = [...this.#rankLoads.keys()].sort(
      (a, b) => (this.#rankLoads[b] ?? 0) - (this.#rankLoads[a] ?? 0) || a - b,
    );
    const cold = order.slice(-COLD_RANKS).reverse();
    const used = countMoves(this.#inForce, { ranks: this.#ranks });
    for (const hot of order.slice(0, HOT_RANKS)) {
      const best = this.#chooseExchange(this.#listExchanges(hot, cold), used);
      if (best !== null) return best;
    }
    return null;
  }

  #chooseExchange(exchanges: Iterable<Exchange>, used: number): Exchange | null {
    let best: Exchange | null = null;
    let bestGain = 1e-9;
    for (const exchange of exchanges) {
      const loads = this.#countLoads(exchange);
      if (loads === null || used + loads > this.#limits.maxMoves) continue;
      // An exchange that takes back an earlier one costs nothing; it counts as half a copy.
      const gain = this.#computeGain(exchange) / Math.max(loads, 0.5);
      if (gain > bestGain) {
        best = exchange;
        bestGain = gain;
      }
    }
    return best;
  }

  *#listExchanges(hot: number, cold: readonly number[]): Generator<Exchange> {
    for (const expert of this.#ranks[hot] ?? []) {
      for (const rank of cold) {
        if (rank === hot || this.#held[rank]?.has(expert)) continue;
        for (const other of this.#ranks[rank] ?? []) {
          // A further copy of a hot expert in the place of a copy that others can stand in for.
          if ((this.#holders[other]?.length ?? 0) > 1) yield [{ rank, out: other, in: expert }];
          if (this.#held[hot]?.has(other)) continue;
          yield [
            { rank: hot, out: expert, in: other },
            { rank, out: other, in: expert },
          ];
        }
      }
      if ((this.#holders[expert]?.length ?? 0) < 2) continue;
      for (let other = 0; other < this.#loads.length; other += 1) {
        if (!this.#held[hot]?.has(other)) yield [{ rank: hot, out: expert, in: other }];
      }
    }
  }

  /** Counts the copies that an exchange adds to the load list; null where a rank has no room. */
  #countLoads(exchange: Exchange): number | null {
    let loads = 0;
    for (const change of exchange) {
      const original = this.#original[change.rank];
      if (original === undefined) return null;
      if (!original.has(change.out)) loads -= 1;
      if (original.has(change.in)) continue;
      loads += 1;
      if (!original.has(change.out)) continue;
      let loaded = 1;
      for (const expert of this.#ranks[change.rank] ?? []) if (!original.has(expert)) loaded += 1;
      if (loaded > this.#limits.maxLoadsPerRank) return null;
    }
    return loads;
  }

  /** Adds to the scratch loads what a change of an expert's number of copies does to its holders. */
  #scaleCopies(expert: number, more: number): void {
    const change = this.#getCopyLoad(expert, more) - this.#getCopyLoad(expert, 0);
    for (const rank of this.#holders[expert] ?? []) this.#addDelta(rank, change);
  }

  #addDelta(rank: number, load: number): void {
    if (this.#delta[rank] === 0) this.#touched.push(rank);
    this.#delta[rank] = (this.#delta[rank] ?? 0) + load;
  }

  #computeGain(exchange: Exchange): number {
    const [first] = exchange;
    if (exchange.length === 1 && first !== undefined) {
      this.#scaleCopies(first.out, -1);
      this.#scaleCopies(first.in, 1);
      this.#addDelta(first.rank, this.#getCopyLoad(first.in, 1));
      this.#addDelta(first.rank, -this.#getCopyLoad(first.out, -1));
    } else {
      // A swap leaves the numbers of copies as they are.
      for (const { rank, out, in: incoming } of exchange) {
        this.#addDelta(rank, this.#getCopyLoad(incoming, 0) - this.#getCopyLoad(out, 0));
      }
    }
    const touched = this.#touched;
    let gain = 0;
    for (const rank of touched) {
      const change = this.#delta[rank] ?? 0;
      this.#delta[rank] = 0;
      if (change === 0) continue;
      const load = this.#rankLoads[rank] ?? 0;
      gain += scoreLoad(load) - scoreLoad(load + change);
    }
    touched.length = 0;
    return gain;
  }

  #apply(exchange: Exchange): void {
    for (const { rank, out, in: incoming } of exchange) {
      const slots = this.#ranks[rank] ?? [];
      slots[slots.indexOf(out)] = incoming;
      this.#held[rank]?.delete(out);
      this.#held[rank]?.add(incoming);
      const losers = this.#holders[out] ?? [];
      losers.splice(losers.indexOf(rank), 1);
      this.#holders[incoming]?.push(rank);
    }
    this.#rebuildLoads();
  }
}
