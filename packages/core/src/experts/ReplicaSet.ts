import type { ReplicaChange } from './ReplicaChange.js';

interface ReplicaLayoutLimits {
  /** Maximum number of copies on a rank. */
  readonly slotsPerRank: number;
  /** Maximum number of new copies on a rank in one change. */
  readonly newPerRank: number;
  /** How many times longer each rank takes for the same load; 1 where absent. */
  readonly paces: readonly number[];
}

const NO_RANKS: readonly number[] = [];

/**
 * Raises a rank's load to the 12th power for the sum to minimize. The exponent is high enough that
 * the most loaded ranks dominate, and low enough that improving one of two equally loaded ranks
 * counts as progress. Multiplications take a fraction of the time of `**`.
 */
function scoreLoad(load: number): number {
  const cube = load * load * load;
  const sixth = cube * cube;
  return sixth * sixth;
}

/** Placement of one expert set's copies during the search for a better one. */
export class ReplicaSet {
  readonly #limits: ReplicaLayoutLimits;

  /** Load by expert, relative to the load of the mean rank. */
  readonly #loads: readonly number[];

  readonly #expertsByRank: number[][];

  readonly #ranksByExpert: number[][] = [];

  /** Experts that each rank holds in the active placement; it need not load them again. */
  readonly #activeExperts: readonly ReadonlySet<number>[];

  /** Load by rank, multiplied by its pace. */
  readonly #rankLoads: number[];

  readonly #newCopies: number[];

  /**
   * @param expertsByRank experts by rank in the active placement
   * @param loads load by expert, any unit; their sum must be positive
   */
  constructor(
    expertsByRank: readonly (readonly number[])[],
    loads: ArrayLike<number>,
    limits: ReplicaLayoutLimits,
  ) {
    this.#limits = limits;
    let sum = 0;
    for (let expert = 0; expert < loads.length; expert += 1) sum += loads[expert] ?? 0;
    const mean = sum / expertsByRank.length;
    this.#loads = Array.from(loads, (load) => load / mean);
    this.#expertsByRank = expertsByRank.map((experts) => [...experts]);
    this.#activeExperts = expertsByRank.map((experts) => new Set(experts));
    this.#newCopies = expertsByRank.map(() => 0);
    for (let expert = 0; expert < loads.length; expert += 1) this.#ranksByExpert.push([]);
    for (const [rank, experts] of this.#expertsByRank.entries()) {
      for (const expert of experts) this.#ranksByExpert[expert]?.push(rank);
    }
    this.#rankLoads = this.#expertsByRank.map(() => 0);
    this.#computeRankLoads();
  }

  /** Returns the load of the slowest rank, multiplied by its pace, relative to the mean rank. */
  getSkew(): number {
    return Math.max(...this.#rankLoads);
  }

  /** Returns the experts by rank, in ascending order. */
  getExpertsByRank(): number[][] {
    return this.#expertsByRank.map((experts) => [...experts].sort((a, b) => a - b));
  }

  /**
   * Finds the change for the most loaded rank that lowers the weighted rank loads most.
   *
   * @param copiesLeft copies that each rank may still load, over all sets
   * @returns null if no change lowers the weighted loads
   */
  findBestChange(copiesLeft: readonly number[]): ReplicaChange | null {
    const hotRank = this.#rankLoads.indexOf(Math.max(...this.#rankLoads));
    let best: ReplicaChange | null = null;
    const evaluate = (rank: number, add: number | null, drop: number | null, copies: number) => {
      const gain = this.#computeGain(rank, add, drop);
      if (gain > 0 && (best === null || gain > best.gain)) best = { rank, add, drop, copies, gain };
    };
    for (const expert of this.#expertsByRank[hotRank] ?? []) {
      const ranks = this.#ranksByExpert[expert] ?? [];
      if (ranks.length > 1) evaluate(hotRank, null, expert, 0);
      for (const [rank, experts] of this.#expertsByRank.entries()) {
        if (ranks.includes(rank)) continue;
        const copies = this.#activeExperts[rank]?.has(expert) ? 0 : 1;
        if (copies > 0 && !this.#canLoadCopy(rank, copiesLeft)) continue;
        if (experts.length < this.#limits.slotsPerRank) {
          evaluate(rank, expert, null, copies);
          continue;
        }
        for (const other of experts) {
          if ((this.#ranksByExpert[other]?.length ?? 0) < 2) continue;
          evaluate(rank, expert, other, copies);
        }
      }
    }
    return best;
  }

  apply(change: ReplicaChange): void {
    if (change.drop !== null) this.#removeCopy(change.rank, change.drop);
    if (change.add !== null) {
      this.#expertsByRank[change.rank]?.push(change.add);
      this.#ranksByExpert[change.add]?.push(change.rank);
      if (change.copies > 0) this.#newCopies[change.rank] = (this.#newCopies[change.rank] ?? 0) + 1;
    }
    this.#computeRankLoads();
  }

  #canLoadCopy(rank: number, copiesLeft: readonly number[]): boolean {
    if ((copiesLeft[rank] ?? 0) < 1) return false;
    return (this.#newCopies[rank] ?? 0) < this.#limits.newPerRank;
  }

  /** Computes by how much a change lowers the weighted loads of all ranks. */
  #computeGain(rank: number, add: number | null, drop: number | null): number {
    const ranksOfAdded = add === null ? NO_RANKS : (this.#ranksByExpert[add] ?? NO_RANKS);
    const ranksOfDropped = drop === null ? NO_RANKS : (this.#ranksByExpert[drop] ?? NO_RANKS);
    const added = add === null ? 0 : (this.#loads[add] ?? 0);
    const dropped = drop === null ? 0 : (this.#loads[drop] ?? 0);
    const addedAfter = added / (ranksOfAdded.length + 1);
    const addedRelief = ranksOfAdded.length === 0 ? 0 : added / ranksOfAdded.length - addedAfter;
    const droppedBefore = ranksOfDropped.length === 0 ? 0 : dropped / ranksOfDropped.length;
    const droppedIncrease =
      ranksOfDropped.length < 2 ? 0 : dropped / (ranksOfDropped.length - 1) - droppedBefore;
    const ownChange = (add === null ? 0 : addedAfter) - (drop === null ? 0 : droppedBefore);
    let gain = this.#computeRankGain(rank, ownChange);
    for (const affected of ranksOfAdded) {
      const alsoDrops = affected !== rank && ranksOfDropped.includes(affected);
      gain += this.#computeRankGain(affected, (alsoDrops ? droppedIncrease : 0) - addedRelief);
    }
    for (const affected of ranksOfDropped) {
      if (affected === rank || ranksOfAdded.includes(affected)) continue;
      gain += this.#computeRankGain(affected, droppedIncrease);
    }
    return gain;
  }

  #computeRankGain(rank: number, change: number): number {
    const before = this.#rankLoads[rank] ?? 0;
    return scoreLoad(before) - scoreLoad(before + change * this.#getPace(rank));
  }

  #removeCopy(rank: number, expert: number): void {
    const experts = this.#expertsByRank[rank] ?? [];
    experts.splice(experts.indexOf(expert), 1);
    const ranks = this.#ranksByExpert[expert] ?? [];
    ranks.splice(ranks.indexOf(rank), 1);
  }

  #computeRankLoads(): void {
    for (const [rank, experts] of this.#expertsByRank.entries()) {
      let sum = 0;
      for (const expert of experts) {
        sum += (this.#loads[expert] ?? 0) / (this.#ranksByExpert[expert]?.length ?? 1);
      }
      this.#rankLoads[rank] = sum * this.#getPace(rank);
    }
  }

  #getPace(rank: number): number {
    return this.#limits.paces[rank] ?? 1;
  }
}
