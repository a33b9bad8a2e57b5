import type { Clock } from '../clock/Clock.js';
import { DemandEstimator } from '../experts/DemandEstimator.js';
import { planReplicas } from '../experts/planReplicas.js';
import type { EngineModel } from '../direct/EngineModel.js';
import type { ExpertSets } from './ExpertSets.js';

interface PlannedMap {
  readonly sets: ExpertSets;
  readonly skewNow: number;
  readonly skewNext: number;
  readonly copies: number;
}

type ExpertModel = NonNullable<EngineModel['experts']>;

/** Gain in skew from which a change is worth its copies and the longer passes meanwhile. */
const MIN_GAIN = 0.3;

/** Copies that each rank loads in one change; the rest follows in the next. */
const COPIES_PER_CHANGE = 2;

/** Choices that an estimate needs before a map is built on it. */
const MIN_COUNTS = 20_000;

/** Decides what map a group needs next. */
export class GroupPlanner {
  readonly #clock: Clock;

  readonly #model: ExpertModel;

  readonly #demand: DemandEstimator;

  /** Counts that arrived since the last interval ended. */
  #counts: Float64Array;

  #countsFromMs: number;

  #total = 0;

  constructor(clock: Clock, model: ExpertModel) {
    this.#clock = clock;
    this.#model = model;
    this.#demand = new DemandEstimator(model.sets, model.count);
    this.#counts = new Float64Array(model.sets * model.count);
    this.#countsFromMs = clock.getNow();
  }

  /** Adds the choices of one rank since its last report, set after set. */
  acceptCounts(counts: ArrayLike<number>): void {
    for (let at = 0; at < this.#counts.length; at += 1) {
      this.#counts[at] = (this.#counts[at] ?? 0) + (counts[at] ?? 0);
      this.#total += counts[at] ?? 0;
    }
  }

  /** Ends an interval of counts. @returns whether demand has shifted */
  closeInterval(): boolean {
    const nowMs = this.#clock.getNow();
    const hasShifted = this.#demand.acceptCounts(this.#counts, nowMs - this.#countsFromMs);
    this.#counts = new Float64Array(this.#counts.length);
    this.#countsFromMs = nowMs;
    return hasShifted;
  }

  /** Tells whether enough choices are known for a plan. */
  hasDemand(): boolean {
    return this.#total >= MIN_COUNTS;
  }

  /** Plans the next map; null where the present one is good enough or too little is known. */
  plan(present: ExpertSets): PlannedMap | null {
    const loads = this.#demand.getLoads();
    if (loads === null || !this.hasDemand()) return null;
    const plan = planReplicas(present, loads, {
      slotsPerRank: this.#model.slotsPerRank,
      newPerRankAndSet: this.#model.spareSlots,
      newPerRank: COPIES_PER_CHANGE,
    });
    return plan.skewNow - plan.skewNext < MIN_GAIN ? null : plan;
  }
}
