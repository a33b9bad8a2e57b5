import type { Clock } from '../clock/Clock.js';
import { DemandEstimator } from '../experts/DemandEstimator.js';
import { RankPaces } from '../experts/RankPaces.js';
import { computeSkew } from '../experts/computeSkew.js';
import { planReplicas } from '../experts/planReplicas.js';
import { urgentPace } from '../experts/urgentPace.js';
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

/** Shortest time between two changes that give copies back to a recovered rank, milliseconds. */
const RETURN_INTERVAL_MS = 1000;

/**
 * Fraction of its even share of copies up to which a recovered rank is filled without regard to the
 * least gain. Beyond it, a group of 32 loses less than 2% of a pass.
 */
const RETURNED_SHARE = 0.5;

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

  readonly #paces = new RankPaces();

  /** Ranks that were slow and have not got their copies back. */
  readonly #depleted = new Set<number>();

  #lastReturnMs = -Infinity;

  /** Map and recovered ranks of the last search that found no copies to give back; null if none. */
  #failedReturn: { readonly sets: ExpertSets; readonly ranks: string } | null = null;

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
    if (hasShifted) {
      this.#failedSearch = null;
      this.#failedReturn = null;
    }
    return hasShifted;
  }

  /** Records the pace that a rank reports. @returns whether its slowness has just become urgent */
  recordPace(rank: number, pace: number): boolean {
    const hasBecomeUrgent = this.#paces.record(rank, pace, this.#clock.getNow());
    if (this.#paces.get(rank) > 1) this.#depleted.add(rank);
    return hasBecomeUrgent;
  }

  /** Discards the pace of a rank, as when another machine has taken its place. */
  discardPace(rank: number): void {
    this.#paces.discard(rank);
    this.#depleted.delete(rank);
  }

  /** Lists the paces that count for plans, by rank. */
  listPaces(size: number): number[] {
    return this.#paces.list(size);
  }

  /** Returns whether the slowness of a rank is urgent. */
  hasUrgentPace(size: number): boolean {
    return this.#paces.list(size).some((pace) => pace >= urgentPace);
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
    const paces = this.#paces.list(current[0]?.length ?? 0);
    const skew = computeMeanSkew(current, loads, paces);
    if (skew - MIN_SKEW < MIN_SKEW_GAIN || this.#isRepeat(skew)) {
      return this.#planReturn(current, loads, paces);
    }
    const plan = this.#search(current, loads, { paces });
    const hasGained = plan.skewNow - plan.skewNext >= MIN_SKEW_GAIN;
    this.#failedSearch = hasGained ? null : { skew, atMs: this.#clock.getNow() };
    return hasGained ? plan : this.#planReturn(current, loads, paces);
  }

  #search(
    current: ExpertSets,
    loads: readonly Float64Array[],
    options: Pick<Parameters<typeof planReplicas>[2], 'paces' | 'receivers'>,
  ): PlannedMap {
    this.#searches += 1;
    return planReplicas(current, loads, {
      slotsPerRank: this.#model.slotsPerRank,
      newPerRankAndSet: this.#model.spareSlots,
      newPerRank: MAX_COPIES_PER_RANK,
      ...options,
    });
  }

  /**
   * Plans to give copies back to ranks that lost them while they were slow. The rest of the group is
   * balanced without them, so that the skew alone would leave them empty.
   */
  #planReturn(
    current: ExpertSets,
    loads: readonly Float64Array[],
    paces: readonly number[],
  ): PlannedMap | null {
    const receivers = this.#listRecovered(current, paces);
    const nowMs = this.#clock.getNow();
    if (receivers.length === 0 || nowMs - this.#lastReturnMs < RETURN_INTERVAL_MS) return null;
    const ranks = receivers.join();
    if (this.#failedReturn?.sets === current && this.#failedReturn.ranks === ranks) return null;
    const plan = this.#search(current, loads, { paces, receivers: new Set(receivers) });
    this.#failedReturn = plan.copies > 0 ? null : { sets: current, ranks };
    if (plan.copies === 0) return null;
    this.#lastReturnMs = nowMs;
    return plan;
  }

  /** Lists the ranks that are not slow and hold few copies because they were. */
  #listRecovered(current: ExpertSets, paces: readonly number[]): number[] {
    const share = (current.length * this.#model.count) / paces.length;
    const recovered: number[] = [];
    for (const [rank, pace] of paces.entries()) {
      if (pace > 1) continue;
      const copies = countCopies(current, rank);
      if (copies >= RETURNED_SHARE * share) this.#depleted.delete(rank);
      else if (this.#depleted.has(rank) || this.#hasLostSet(current, rank)) recovered.push(rank);
    }
    return recovered;
  }

  /**
   * Returns whether a rank holds no expert of a set, which shows that it was slow: other searches
   * leave each rank at least one where there are enough experts.
   */
  #hasLostSet(current: ExpertSets, rank: number): boolean {
    if (this.#model.count < (current[0]?.length ?? 0)) return false;
    return current.some((ranks) => (ranks[rank]?.length ?? 0) === 0);
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
function computeMeanSkew(
  sets: ExpertSets,
  loads: readonly Float64Array[],
  paces: readonly number[],
): number {
  let sum = 0;
  for (const [set, ranks] of sets.entries()) {
    const layer = { ranks: ranks.map((experts) => [...experts]) };
    sum += computeSkew(layer, loads[set] ?? [], paces);
  }
  return sum / sets.length;
}

function countCopies(sets: ExpertSets, rank: number): number {
  let copies = 0;
  for (const ranks of sets) copies += ranks[rank]?.length ?? 0;
  return copies;
}
