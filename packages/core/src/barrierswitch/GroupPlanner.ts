import type { Clock } from '../clock/Clock.js';
import { DemandEstimator } from '../experts/DemandEstimator.js';
import { computeSkew } from '../experts/computeSkew.js';
import { planReplicas } from '../experts/planReplicas.js';
import type { EngineModel } from '../direct/EngineModel.js';
import type { ExpertSets } from './ExpertSets.js';

/** The next expert map, its load skew against that of the current one, and the copies it needs. */
interface PlannedMap {
  readonly sets: ExpertSets;
  readonly skewNow: number;
  readonly skewNext: number;
  readonly copies: number;
}

type ExpertModel = NonNullable<EngineModel['experts']>;

/** Least reduction of skew that justifies the copies and the longer passes during a change. */
const MIN_SKEW_GAIN = 0.3;

/** Most copies that a rank loads in one change; later changes load the rest. */
const MAX_COPIES_PER_RANK = 2;

/** Skew of a group whose ranks are equally loaded, which no map can lower. */
const MIN_SKEW = 1;

/** Rise of the skew after which a search that gained too little is repeated. */
const REPEAT_SKEW_RISE = 0.05;

/** Time after which it is repeated in any case, milliseconds. */
const REPEAT_INTERVAL_MS = 1000;

/** Least number of counted expert choices on which a map may be based. */
const MIN_EXPERT_CHOICES = 20_000;

/** Estimates the demand for experts in a group and plans its next expert map. */
export class GroupPlanner {
  readonly #clock: Clock;

  readonly #model: ExpertModel;

  readonly #demand: DemandEstimator;

  /** Expert choices counted in the current interval, by set and expert. */
  #counts: Float64Array;

  #intervalStartMs: number;

  #totalCount = 0;

  /** The last search that gained too little; null if there was none since the last plan or shift. */
  #failedSearch: { readonly skew: number; readonly atMs: number } | null = null;

  #searches = 0;

  constructor(clock: Clock, model: ExpertModel) {
    this.#clock = clock;
    this.#model = model;
    this.#demand = new DemandEstimator(model.sets, model.count);
    this.#counts = new Float64Array(model.sets * model.count);
    this.#intervalStartMs = clock.getNow();
  }

  /** Adds the expert choices of one rank since its last report, by set, then by expert. */
  addCounts(counts: ArrayLike<number>): void {
    for (let index = 0; index < this.#counts.length; index += 1) {
      this.#counts[index] = (this.#counts[index] ?? 0) + (counts[index] ?? 0);
      this.#totalCount += counts[index] ?? 0;
    }
  }

  /** Ends the current interval and begins the next one. @returns whether demand has shifted */
  closeInterval(): boolean {
    const nowMs = this.#clock.getNow();
    const hasShifted = this.#demand.addCounts(this.#counts, nowMs - this.#intervalStartMs);
    this.#counts = new Float64Array(this.#counts.length);
    this.#intervalStartMs = nowMs;
    if (hasShifted) this.#failedSearch = null;
    return hasShifted;
  }

  /** Returns the number of searches for a map, each of which takes tens of milliseconds. */
  countSearches(): number {
    return this.#searches;
  }

  /** Returns whether enough expert choices were counted for a plan. */
  hasEnoughCounts(): boolean {
    return this.#totalCount >= MIN_EXPERT_CHOICES;
  }

  /** Plans the next map; null where a change gains too little or too few choices were counted. */
  plan(current: ExpertSets): PlannedMap | null {
    const loads = this.#demand.getLoads();
    if (loads === null || !this.hasEnoughCounts()) return null;
    const skew = computeMeanSkew(current, loads);
    if (skew - MIN_SKEW < MIN_SKEW_GAIN || this.#isRepeat(skew)) return null;
    this.#searches += 1;
    const plan = planReplicas(current, loads, {
      slotsPerRank: this.#model.slotsPerRank,
      newPerRankAndSet: this.#model.spareSlots,
      newPerRank: MAX_COPIES_PER_RANK,
    });
    const hasGained = plan.skewNow - plan.skewNext >= MIN_SKEW_GAIN;
    this.#failedSearch = hasGained ? null : { skew, atMs: this.#clock.getNow() };
    return hasGained ? plan : null;
  }

  /** Returns whether a search would probably gain as little as the last one. */
  #isRepeat(skew: number): boolean {
    if (this.#failedSearch === null) return false;
    const { skew: failedSkew, atMs } = this.#failedSearch;
    const isRecent = this.#clock.getNow() - atMs < REPEAT_INTERVAL_MS;
    return isRecent && skew < failedSkew + REPEAT_SKEW_RISE;
  }
}

/** Computes the mean skew of a map over its sets. */
function computeMeanSkew(sets: ExpertSets, loads: readonly Float64Array[]): number {
  let sum = 0;
  for (const [set, ranks] of sets.entries()) {
    sum += computeSkew({ ranks: ranks.map((experts) => [...experts]) }, loads[set] ?? []);
  }
  return sum / sets.length;
}
