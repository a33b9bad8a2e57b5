interface Mean {
  readonly timeMs: number;
  readonly cost: number;
}

const WEIGHT = 0.1;
const MAX_CLASSES = 64;

function updateMean(mean: Mean, timeMs: number, cost: number): Mean {
  return {
    timeMs: mean.timeMs + WEIGHT * (timeMs - mean.timeMs),
    cost: mean.cost + WEIGHT * (cost - mean.cost),
  };
}

/** Predicts service times from finished requests, by class and, without one, by cost. */
export class ServiceTimeEstimator {
  readonly #classes = new Map<string, Mean>();

  #all: Mean | null = null;

  record(name: string, cost: number, timeMs: number): void {
    const first = { timeMs, cost };
    this.#all = this.#all === null ? first : updateMean(this.#all, timeMs, cost);
    const known = this.#classes.get(name);
    if (known === undefined && this.#classes.size >= MAX_CLASSES) return;
    this.#classes.set(name, known === undefined ? first : updateMean(known, timeMs, cost));
  }

  /** @returns expected service time in milliseconds, 0 before the first sample */
  estimate(name: string, cost: number): number {
    const known = this.#classes.get(name);
    if (known !== undefined) return known.timeMs;
    return cost * this.getTimePerCost();
  }

  /** Returns milliseconds of one slot per unit of cost. */
  getTimePerCost(): number {
    return this.#all === null ? 0 : this.#all.timeMs / Math.max(this.#all.cost, 1e-9);
  }
}
