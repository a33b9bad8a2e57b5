import type { ReplicaStep } from './ReplicaStep.js';

interface ReplicaLimits {
  /** Copies that a rank holds at most. */
  readonly slotsPerRank: number;
  /** New copies that a rank accepts in one change. */
  readonly newPerRank: number;
}

/**
 * Exponent that turns rank loads into one figure to lower. High enough that the hottest ranks
 * decide, low enough that cooling one of two equally hot ranks counts as progress.
 */
const EXPONENT = 12;

/** The copies of one set of experts during the search for a better placement. */
export class ReplicaSet {
  readonly #limits: ReplicaLimits;

  /** Load by expert in units of the mean rank. */
  readonly #loads: readonly number[];

  /** Experts by rank, and ranks by expert. */
  readonly #slots: number[][];

  readonly #holders: number[][] = [];

  /** Experts that each rank holds already, so that placing them there costs no copy. */
  readonly #loaded: readonly ReadonlySet<number>[];

  readonly #rankLoads: number[];

  readonly #newCopies: number[];

  /**
   * @param slots experts by rank, as they are in force
   * @param loads load by expert, any unit; their sum must be positive
   */
  constructor(
    slots: readonly (readonly number[])[],
    loads: ArrayLike<number>,
    limits: ReplicaLimits,
  ) {
    this.#limits = limits;
    let sum = 0;
    for (let expert = 0; expert < loads.length; expert += 1) sum += loads[expert] ?? 0;
    const mean = sum / slots.length;
    this.#loads = Array.from(loads, (load) => load / mean);
    this.#slots = slots.map((held) => [...held]);
    this.#loaded = slots.map((held) => new Set(held));
    this.#newCopies = slots.map(() => 0);
    for (let expert = 0; expert < loads.length; expert += 1) this.#holders.push([]);
    for (const [rank, held] of this.#slots.entries()) {
      for (const expert of held) this.#holders[expert]?.push(rank);
    }
    this.#rankLoads = this.#slots.map(() => 0);
    this.#computeLoads();
  }

  /** Returns the load of the slowest rank relative to the mean. */
  getSkew(): number {
    return Math.max(...this.#rankLoads);
  }

  getSlots(): number[][] {
    return this.#slots.map((held) => [...held].sort((a, b) => a - b));
  }

  /**
   * Finds the change that lowers the load of the hottest rank most.
   *
   * @param copiesLeft copies that each rank may still load, over all sets
   */
  findStep(copiesLeft: readonly number[]): ReplicaStep | null {
    const hot = this.#rankLoads.indexOf(Math.max(...this.#rankLoads));
    let best: ReplicaStep | null = null;
    for (const step of this.#listSteps(hot, copiesLeft)) {
      const gain = this.#computeGain(step);
      if (gain <= 0 || (best !== null && gain <= best.gain)) continue;
      best = { ...step, gain };
    }
    return best;
  }

  apply(step: ReplicaStep): void {
    if (step.drop !== null) this.#remove(step.rank, step.drop);
    if (step.add !== null) {
      this.#slots[step.rank]?.push(step.add);
      this.#holders[step.add]?.push(step.rank);
      if (step.copies > 0) this.#newCopies[step.rank] = (this.#newCopies[step.rank] ?? 0) + 1;
    }
    this.#computeLoads();
  }

  *#listSteps(hot: number, copiesLeft: readonly number[]): Generator<Omit<ReplicaStep, 'gain'>> {
    for (const expert of this.#slots[hot] ?? []) {
      const holders = this.#holders[expert] ?? [];
      if (holders.length > 1) yield { rank: hot, add: null, drop: expert, copies: 0 };
      for (const [rank, held] of this.#slots.entries()) {
        if (holders.includes(rank)) continue;
        const copies = this.#loaded[rank]?.has(expert) ? 0 : 1;
        if (copies > 0 && !this.#hasRoom(rank, copiesLeft)) continue;
        if (held.length < this.#limits.slotsPerRank) {
          yield { rank, add: expert, drop: null, copies };
          continue;
        }
        for (const other of held) {
          if ((this.#holders[other]?.length ?? 0) < 2) continue;
          yield { rank, add: expert, drop: other, copies };
        }
      }
    }
  }

  #hasRoom(rank: number, copiesLeft: readonly number[]): boolean {
    if ((copiesLeft[rank] ?? 0) < 1) return false;
    return (this.#newCopies[rank] ?? 0) < this.#limits.newPerRank;
  }

  #computeGain({ rank, add, drop }: Omit<ReplicaStep, 'gain'>): number {
    const changes = new Map<number, number>();
    const addChange = (holder: number, load: number): void => {
      changes.set(holder, (changes.get(holder) ?? 0) + load);
    };
    if (add !== null) {
      const holders = this.#holders[add] ?? [];
      const load = this.#loads[add] ?? 0;
      const after = load / (holders.length + 1);
      for (const holder of holders) addChange(holder, after - load / holders.length);
      addChange(rank, after);
    }
    if (drop !== null) {
      const holders = this.#holders[drop] ?? [];
      const load = this.#loads[drop] ?? 0;
      const after = load / (holders.length - 1);
      for (const holder of holders) {
        addChange(holder, (holder === rank ? 0 : after) - load / holders.length);
      }
    }
    let gain = 0;
    for (const [holder, load] of changes) {
      const before = this.#rankLoads[holder] ?? 0;
      gain += before ** EXPONENT - (before + load) ** EXPONENT;
    }
    return gain;
  }

  #remove(rank: number, expert: number): void {
    const held = this.#slots[rank] ?? [];
    held.splice(held.indexOf(expert), 1);
    const holders = this.#holders[expert] ?? [];
    holders.splice(holders.indexOf(rank), 1);
  }

  #computeLoads(): void {
    for (const [rank, held] of this.#slots.entries()) {
      let sum = 0;
      for (const expert of held) {
        sum += (this.#loads[expert] ?? 0) / (this.#holders[expert]?.length ?? 1);
      }
      this.#rankLoads[rank] = sum;
    }
  }
}
