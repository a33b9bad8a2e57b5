interface Estimate {
  readonly timeMs: number;
  /** Mean absolute deviation of the time. */
  readonly deviationMs: number;
  readonly cost: number;
}

const WEIGHT = 0.1;
const MAX_CLASSES = 64;
/** Covers nearly all of a uniform spread; fewer started requests then end too late. */
const DEVIATIONS = 2;

function updateEstimate(old: Estimate, timeMs: number, cost: number): Estimate {
  const errorMs = timeMs - old.timeMs;
  return {
    timeMs: old.timeMs + WEIGHT * errorMs,
    deviationMs: old.deviationMs + WEIGHT * (Math.abs(errorMs) - old.deviationMs),
    cost: old.cost + WEIGHT * (cost - old.cost),
  };
}

/** Predicts service times from finished requests, by class and, without one, by cost. */
export class ServiceTimeEstimator {
  readonly #classes = new Map<string, Estimate>();

  #all: Estimate | null = null;

  /** Forgets everything, as it belongs to the time before a restart. */
  clear(): void {
    this.#classes.clear();
    this.#all = null;
  }

  record(name: string, cost: number, timeMs: number): void {
    const first = { timeMs, deviationMs: 0, cost };
    this.#all = this.#all === null ? first : updateEstimate(this.#all, timeMs, cost);
    const known = this.#classes.get(name);
    if (known === undefined && this.#classes.size >= MAX_CLASSES) return;
    this.#classes.set(name, known === undefined ? first : updateEstimate(known, timeMs, cost));
  }

  /** @returns expected service time in milliseconds, 0 before the first sample */
  estimate(name: string, cost: number): number {
    return this.#classes.get(name)?.timeMs ?? cost * this.getTimePerCost();
  }

  /** @returns service time in milliseconds that few requests of the class exceed */
  estimateHigh(name: string, cost: number): number {
    const known = this.#classes.get(name);
    if (known === undefined) return this.estimate(name, cost);
    return known.timeMs + DEVIATIONS * known.deviationMs;
  }

  /** Returns milliseconds of one slot per unit of cost. */
  getTimePerCost(): number {
    return this.#all === null ? 0 : this.#all.timeMs / Math.max(this.#all.cost, 1e-9);
  }
}
