interface Estimate {
  readonly timeMs: number;
  /** Moving average of the absolute deviation from `timeMs`. */
  readonly deviationMs: number;
  readonly cost: number;
}

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
const MAX_CLASSES = 64;
/**
 * Two mean deviations cover a uniform distribution, so few started requests miss their deadline.
 */
const HIGH_DEVIATION_FACTOR = 2;

function updateEstimate(old: Estimate, timeMs: number, cost: number): Estimate {
  const errorMs = timeMs - old.timeMs;
  return {
    timeMs: old.timeMs + SAMPLE_WEIGHT * errorMs,
    deviationMs: old.deviationMs + SAMPLE_WEIGHT * (Math.abs(errorMs) - old.deviationMs),
    cost: old.cost + SAMPLE_WEIGHT * (cost - old.cost),
  };
}

/**
 * Estimates service times from finished requests of the same class. For a class without samples it
 * adds the step time of the additional cost to the mean of all classes: the time before the first
 * token does not grow with the cost.
 */
export class ServiceTimeEstimator {
  readonly #classes = new Map<string, Estimate>();

  #overall: Estimate | null = null;

  /** Moving average of the time of a step, milliseconds; 0 before the first sample. */
  #stepTimeMs = 0;

  /** Removes all estimates, which are invalid after a restart of the target. */
  clear(): void {
    this.#classes.clear();
    this.#overall = null;
    this.#stepTimeMs = 0;
  }

  /** Records a measured or reported step time, milliseconds. */
  recordStepTime(stepTimeMs: number): void {
    const weight = this.#stepTimeMs === 0 ? 1 : SAMPLE_WEIGHT;
    this.#stepTimeMs += weight * (stepTimeMs - this.#stepTimeMs);
  }

  /** Records a finished request. @param name class of the request */
  record(name: string, cost: number, timeMs: number): void {
    const initial = { timeMs, deviationMs: 0, cost };
    this.#overall = this.#overall === null ? initial : updateEstimate(this.#overall, timeMs, cost);
    const existing = this.#classes.get(name);
    if (existing === undefined && this.#classes.size >= MAX_CLASSES) return;
    this.#classes.set(
      name,
      existing === undefined ? initial : updateEstimate(existing, timeMs, cost),
    );
  }

  /**
   * @returns expected service time in milliseconds, 0 before the first sample. For a class without
   * samples it is a low estimate, because a refusal would prevent the sample that corrects it.
   */
  estimate(name: string, cost: number): number {
    return this.#classes.get(name)?.timeMs ?? this.#estimateByCost(cost);
  }

  /** @returns service time in milliseconds that few requests of the class exceed */
  estimateUpperBound(name: string, cost: number): number {
    const existing = this.#classes.get(name);
    if (existing === undefined) return this.estimate(name, cost);
    return existing.timeMs + HIGH_DEVIATION_FACTOR * existing.deviationMs;
  }

  #estimateByCost(cost: number): number {
    const timePerCostMs = this.getTimePerCost();
    if (this.#overall === null || cost <= this.#overall.cost) return cost * timePerCostMs;
    const stepTimeMs = Math.min(this.#stepTimeMs, timePerCostMs);
    return this.#overall.timeMs + (cost - this.#overall.cost) * stepTimeMs;
  }

  /** Returns the milliseconds that one slot needs per unit of cost. */
  getTimePerCost(): number {
    return this.#overall === null ? 0 : this.#overall.timeMs / Math.max(this.#overall.cost, 1e-9);
  }
}
