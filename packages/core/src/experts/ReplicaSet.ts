import type { ReplicaChange } from './ReplicaChange.js';

interface ReplicaLayoutLimits {
  /** Maximum number of copies on a rank. */
  readonly slotsPerRank: number;
  /** Maximum number of new copies on a rank in one change. */
  readonly newPerRank: number;
}

/**
 * Exponent of rank loads in the sum to minimize. High enough that the most loaded ranks dominate,
 * low enough that improving one of two equally loaded ranks counts as progress.
 */
const LOAD_EXPONENT = 12;

/** Placement of one expert set's copies during the search for a better one. */
export class ReplicaSet {
  readonly #limits: ReplicaLayoutLimits;

  /** Load by expert, relative to the load of the mean rank. */
  readonly #loads: readonly number[];

  readonly #expertsByRank: number[][];

  readonly #ranksByExpert: number[][] = [];

  /** Experts that each rank holds in the active placement; it need not load them again. */
  readonly #activeExperts: readonly ReadonlySet<number>[];

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

  /** Returns the load of the slowest rank relative to the mean rank. */
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
    for (const change of this.#listChanges(hotRank, copiesLeft)) {
      const gain = this.#computeGain(change);
      if (gain <= 0 || (best !== null && gain <= best.gain)) continue;
      best = { ...change, gain };
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

  *#listChanges(
    hotRank: number,
    copiesLeft: readonly number[],
  ): Generator<Omit<ReplicaChange, 'gain'>> {
    for (const expert of this.#expertsByRank[hotRank] ?? []) {
      const ranks = this.#ranksByExpert[expert] ?? [];
      if (ranks.length > 1) yield { rank: hotRank, add: null, drop: expert, copies: 0 };
      for (const [rank, experts] of this.#expertsByRank.entries()) {
        if (ranks.includes(rank)) continue;
        const copies = this.#activeExperts[rank]?.has(expert) ? 0 : 1;
        if (copies > 0 && !this.#canLoadCopy(rank, copiesLeft)) continue;
        if (experts.length < this.#limits.slotsPerRank) {
          yield { rank, add: expert, drop: null, copies };
          continue;
        }
        for (const other of experts) {
          if ((this.#ranksByExpert[other]?.length ?? 0) < 2) continue;
          yield { rank, add: expert, drop: other, copies };
        }
      }
    }
  }

  #canLoadCopy(rank: number, copiesLeft: readonly number[]): boolean {
    if ((copiesLeft[rank] ?? 0) < 1) return false;
    return (this.#newCopies[rank] ?? 0) < this.#limits.newPerRank;
  }

  #computeGain({ rank, add, drop }: Omit<ReplicaChange, 'gain'>): number {
    const changes = new Map<number, number>();
    const addChange = (affectedRank: number, load: number): void => {
      changes.set(affectedRank, (changes.get(affectedRank) ?? 0) + load);
    };
    if (add !== null) {
      const ranks = this.#ranksByExpert[add] ?? [];
      const load = this.#loads[add] ?? 0;
      const loadAfter = load / (ranks.length + 1);
      for (const affectedRank of ranks) addChange(affectedRank, loadAfter - load / ranks.length);
      addChange(rank, loadAfter);
    }
    if (drop !== null) {
      const ranks = this.#ranksByExpert[drop] ?? [];
      const load = this.#loads[drop] ?? 0;
      const loadAfter = load / (ranks.length - 1);
      for (const affectedRank of ranks) {
        addChange(affectedRank, (affectedRank === rank ? 0 : loadAfter) - load / ranks.length);
      }
    }
    let gain = 0;
    for (const [affectedRank, load] of changes) {
      const loadBefore = this.#rankLoads[affectedRank] ?? 0;
      gain += loadBefore ** LOAD_EXPONENT - (loadBefore + load) ** LOAD_EXPONENT;
    }
    return gain;
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
      this.#rankLoads[rank] = sum;
    }
  }
}
