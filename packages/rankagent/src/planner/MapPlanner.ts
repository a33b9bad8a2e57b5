import {
  GroupPlanner,
  BarrierSwitch,
  BoundaryChooser,
  type Clock,
  type EngineModel,
  completeSets,
  createInitialMap,
  type ExpertSets,
  type MapOrder,
  type OrderAnswer,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import { createMapOrder } from '../maps/createMapOrder.js';
import type { HeldReply } from '../ports/HeldReply.js';
import type { PlannerArmGuard } from './PlannerArmGuard.js';
import type { RankHandle } from './RankHandle.js';

/** A switch of this process whose pass was released after all ranks had been armed. */
interface CompletedSwitch {
  readonly epoch: number;
  readonly version: number;
  readonly step: number;
  readonly holder: number;
  /** When it was completed; statuses from before may not show that the ranks are armed. */
  readonly atMs: number;
}

type SwitchOptions = ConstructorParameters<typeof BarrierSwitch>[0];

interface MapPlannerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Rank that this agent serves; the holder of the switches that this process starts. */
  readonly ownRank: number;
  readonly getRank: (rank: number) => RankHandle | null;
  /** Returns a map that the rank of this agent has prepared; null if it is not known. */
  readonly findMap: (epoch: number, version: number) => ExpertSets | null;
  /** Returns whether the group has work and begins no passes. */
  readonly isGroupStalled: () => boolean;
  /** Tells whether the rank of another planner is armed for the pass that the own rank holds. */
  readonly armGuard: PlannerArmGuard;
}

/** Greatest age of a status that a plan may use, milliseconds. */
const STATUS_MAX_AGE_MS = 1100;

/** A rank without a status for this long is polled directly, at most once per interval, milliseconds. */
const POLL_INTERVAL_MS = 900;

/** The same for ranks of silent agents while the group stands still or changes its map. */
const WAITING_POLL_INTERVAL_MS = 150;

/** Greatest age of the status of such a rank, milliseconds. */
const WAITING_STATUS_MAX_AGE_MS = 350;

/** A rank that has not answered a poll after this time does not answer at all, milliseconds. */
const POLL_TIMEOUT_MS = 120;

/** A switch is aborted if loading takes longer; it usually takes a few hundred, milliseconds. */
const PREPARE_TIMEOUT_MS = 4000;

/** A held pass that belongs to no switch of this process is released after this time, milliseconds. */
const UNEXPLAINED_HOLD_TIMEOUT_MS = 300;

/** A group is held for this long at most for the process that arms the planner's rank, milliseconds. */
const PLANNER_ARM_TIMEOUT_MS = 600;

/** Ranks whose maps differ for this long get one map; a status may be older than a switch, milliseconds. */
const MAP_DIFFERENCE_TIMEOUT_MS = 300;

/** Interval of the warnings about a switch that holds the group, milliseconds. */
const HOLD_WARNING_INTERVAL_MS = 1000;

/** Shortest time between two plans, milliseconds. */
const PLAN_INTERVAL_MS = 100;

/** The plan after a shift of demand is due this much earlier, at the end of the next interval. */
const SHIFT_PLAN_ADVANCE_MS = 10;

/** Plans the expert maps of the group of this agent's rank and runs the switches to them. */
export class MapPlanner {
  readonly #options: MapPlannerOptions;

  readonly #statuses = new Map<number, { status: RankStatus; receivedMs: number }>();

  #planner: GroupPlanner | null = null;

  #model: NonNullable<EngineModel['experts']> | null = null;

  /** The active map; null while it is unknown. */
  #map: { readonly version: number; readonly epoch: number; readonly sets: ExpertSets } | null =
    null;

  #switch: BarrierSwitch | null = null;

  #switchSets: ExpertSets = [];

  /** Rank that holds the pass of the current switch of this process. */
  #holder = 0;

  /** Short forms of the orders to prepare the maps of the current switch, by version. */
  readonly #mapOrders = new Map<number, MapOrder>();

  /** Whether the active map suits the demand; false while that is unknown. */
  #hasSuitableMap = false;

  #isReadingMap = false;

  /** Paces that were last logged, by rank. */
  #loggedPaces: readonly number[] = [];

  /** Whether the last interval of counts differed from the estimate. */
  #hasDemandShifted = false;

  #lastVersion = 0;

  readonly #boundaries = new BoundaryChooser();

  /** The last switch of this process that was completed; null if there was none. */
  #completed: CompletedSwitch | null = null;

  /** Whether an order to release the pass of that switch again is not answered yet. */
  #isReleasing = false;

  #lastPlanMs = -Infinity;

  #switchStartMs = 0;

  /** When the group was first asked to hold a pass for the current switch; null before. */
  #holdStartMs: number | null = null;

  #lastHoldWarningMs = -Infinity;

  /** Time since which ranks have different maps; null if they do not. */
  #mapsDifferSinceMs: number | null = null;

  /** Time since which a rank holds a pass without a switch of this process; null if none does. */
  #unexplainedHoldSinceMs: number | null = null;

  readonly #lastPollMs = new Map<number, number>();

  /** Times of the first polls that were sent after the last status of a rank. */
  readonly #unansweredSinceMs = new Map<number, number>();

  constructor(options: MapPlannerOptions) {
    this.#options = options;
    options.metrics.register('limpetbay_slow_ranks', () => countSlow(this.#listPaces()));
  }

  isSwitching(): boolean {
    return this.#switch !== null;
  }

  /** Returns whether the active map suits the demand, as far as this process has planned. */
  hasSuitableMap(): boolean {
    const own = this.#getOwnStatus();
    return this.#hasSuitableMap && this.#map?.epoch === own?.epoch;
  }

  setModel(model: NonNullable<EngineModel['experts']> | null): void {
    const isSame = JSON.stringify(model) === JSON.stringify(this.#model);
    if (isSame) return;
    this.#model = model;
    this.#planner = model === null ? null : new GroupPlanner(this.#options.clock, model);
  }

  handleStatus(status: RankStatus): void {
    const previous = this.#statuses.get(status.rank)?.status;
    const { epoch, held, armed } = status;
    this.#boundaries.recordUse(epoch, Math.max(held ?? 0, armed?.step ?? 0) + 1);
    this.#statuses.set(status.rank, { status, receivedMs: this.#options.clock.getNow() });
    this.#unansweredSinceMs.delete(status.rank);
    const isOther = previous?.address !== status.address || previous.epoch !== status.epoch;
    if (isOther) this.#planner?.discardPace(status.rank);
    const hasBecomeUrgent = this.#planner?.recordPace(status.rank, status.pace ?? 1) === true;
    const previousPhase = this.#switch?.getPhase();
    // The map that is being loaded leaves experts on the rank that now delays each pass.
    if (hasBecomeUrgent) this.#switch?.abort();
    this.#switch?.handleStatus(status);
    if (this.#switch !== null && previousPhase !== this.#switch.getPhase()) {
      this.#reportPhase(this.#switch);
    }
  }

  addCounts(counts: ArrayLike<number>): void {
    this.#planner?.addCounts(counts);
  }

  /** Ends an interval of counts, whether or not this process plans at the moment. */
  closeInterval(): void {
    const hadDemandShifted = this.#hasDemandShifted;
    this.#hasDemandShifted = this.#planner?.closeInterval() === true;
    if (!this.#hasDemandShifted || hadDemandShifted) return;
    const phase = this.#switch?.getPhase() ?? 'none';
    this.#options.log.report('demand for experts has shifted', { switch: phase });
    // This interval mixes counts of the old and the new demand; the next plan waits for one more.
    this.#lastPlanMs = this.#options.clock.getNow() - SHIFT_PLAN_ADVANCE_MS;
    // The map that is being loaded was planned for the old demand.
    this.#switch?.abort();
  }

  /**
   * Polls ranks, starts and advances switches. Called only where this process plans for the group
   * or has an unfinished switch.
   */
  advance(): void {
    this.#pollStaleRanks();
    const own = this.#getOwnStatus();
    if (own !== undefined) this.#boundaries.recordStep(own.epoch, own.step);
    if (this.#switch === null) {
      const statuses = this.#listStatuses();
      if (statuses === null) this.#recoverWithoutPlanner();
      else this.#startNext(statuses);
    }
    if (this.#switch !== null) this.#advanceSwitch(this.#switch);
  }

  /** Discards the active map when another process plans, which may switch to another one. */
  invalidateMap(): void {
    this.#map = null;
    this.#hasSuitableMap = false;
    this.#boundaries.clear();
  }

  #pollStaleRanks(): void {
    const size = this.#getOwnStatus()?.size ?? 0;
    for (let rank = 0; rank < size; rank += 1) {
      const handle = this.#options.getRank(rank);
      const intervalMs = this.#isWaitingFor(handle) ? WAITING_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
      this.#pollRank(rank, intervalMs);
    }
  }

  /** Polls a rank unless it was polled, or has sent a status, within the interval. */
  #pollRank(rank: number, intervalMs: number): void {
    const nowMs = this.#options.clock.getNow();
    const receivedMs = this.#statuses.get(rank)?.receivedMs ?? -Infinity;
    const lastPollMs = this.#lastPollMs.get(rank) ?? -Infinity;
    if (nowMs - Math.max(receivedMs, lastPollMs) < intervalMs) return;
    this.#lastPollMs.set(rank, nowMs);
    if (!this.#unansweredSinceMs.has(rank)) this.#unansweredSinceMs.set(rank, nowMs);
    void this.#options.getRank(rank)?.pollStatus();
  }

  /** Lists the statuses of all ranks in order; null unless all are recent and of one epoch. */
  #listStatuses(): RankStatus[] | null {
    const own = this.#getOwnStatus();
    if (own === undefined || !own.isOpen) return null;
    const statuses: RankStatus[] = [];
    for (let rank = 0; rank < own.size; rank += 1) {
      const status = this.#getRecentStatus(rank);
      if (status === null || status.epoch !== own.epoch) return null;
      statuses.push(status);
    }
    return statuses;
  }

  #getOwnStatus(): RankStatus | undefined {
    return this.#statuses.get(this.#options.ownRank)?.status;
  }

  #getRecentStatus(rank: number): RankStatus | null {
    const latest = this.#statuses.get(rank);
    if (latest === undefined) return null;
    const maxAgeMs = this.#isWaitingFor(this.#options.getRank(rank))
      ? WAITING_STATUS_MAX_AGE_MS
      : STATUS_MAX_AGE_MS;
    const ageMs = this.#options.clock.getNow() - latest.receivedMs;
    return ageMs <= maxAgeMs ? latest.status : null;
  }

  /** Returns whether the group stands still and the agent of a rank, which may be the reason, is silent. */
  #isWaitingFor(handle: RankHandle | null): boolean {
    const isWaiting = this.#switch !== null || this.#options.isGroupStalled();
    return isWaiting && handle?.getPath() === 'direct';
  }

  #startNext(statuses: readonly RankStatus[]): void {
    const [first] = statuses;
    if (first === undefined) return;
    const { epoch } = first;
    const isHeld = this.#listHeld(statuses).length > 0;
    const isArmed = statuses.some(({ armed }) => armed !== null);
    const isSameMap = statuses.every(({ map }) => map === first.map);
    if (isSameMap) this.#mapsDifferSinceMs = null;
    else {
      if (isHeld || !isArmed) this.#repairMaps(statuses);
      return;
    }
    const isKnown = this.#map !== null && this.#map.epoch === epoch;
    // A process that was paused may take another map for the active one.
    if (!isKnown || (isHeld && this.#map?.version !== first.map)) {
      if (!isHeld || !this.#restoreActiveMap(first)) {
        void this.#readActiveMap(statuses);
        return;
      }
    }
    if (!isHeld) this.#unexplainedHoldSinceMs = null;
    else if (this.#isHoldUnexplained() && !this.#releaseCompleted(statuses)) {
      this.#recover(statuses, null);
    }
    if (isHeld || isArmed) return;
    if (first.map !== this.#map?.version) {
      void this.#readActiveMap(statuses);
      return;
    }
    // A group that stalls is probably held by a planner that left it, which a poll will show.
    if (this.#isStalled()) return;
    this.#logPaces();
    this.#plan(statuses);
  }

  /** Returns whether the group stands still; the long passes that a slow rank causes do not count. */
  #isStalled(): boolean {
    if (!this.#options.isGroupStalled()) return false;
    return this.#planner?.hasUrgentPace(this.#getOwnStatus()?.size ?? 0) !== true;
  }

  /** Lists the paces that count for plans, by rank. */
  #listPaces(): number[] {
    return this.#planner?.listPaces(this.#getOwnStatus()?.size ?? 0) ?? [];
  }

  #logPaces(): void {
    const paces = this.#listPaces();
    for (const [rank, pace] of paces.entries()) {
      const previous = this.#loggedPaces[rank] ?? 1;
      if (pace === previous) continue;
      this.#options.log.report('pace of a rank changed; planning with it', {
        rank,
        address: this.#statuses.get(rank)?.status.address,
        pace,
        was: previous,
      });
    }
    this.#loggedPaces = paces;
  }

  /** Takes the active map for a recovery from what this process has prepared, if it did. */
  #restoreActiveMap({ epoch, map: version }: RankStatus): boolean {
    if (this.#map?.epoch === epoch && this.#map.version === version) return true;
    const sets = this.#options.findMap(epoch, version);
    if (sets === null) return false;
    this.#map = { version, epoch, sets };
    return true;
  }

  /**
   * Returns whether the hold without a switch has lasted for the timeout: statuses sent before a
   * release still show the hold. A group that stalls shows that it was not released.
   */
  #isHoldUnexplained(): boolean {
    if (this.#isStalled()) return true;
    const nowMs = this.#options.clock.getNow();
    this.#unexplainedHoldSinceMs ??= nowMs;
    return nowMs - this.#unexplainedHoldSinceMs >= UNEXPLAINED_HOLD_TIMEOUT_MS;
  }

  #plan(statuses: readonly RankStatus[]): void {
    const nowMs = this.#options.clock.getNow();
    if (this.#planner === null || this.#map === null) return;
    if (nowMs - this.#lastPlanMs < PLAN_INTERVAL_MS) return;
    this.#lastPlanMs = nowMs;
    const searches = this.#planner.countSearches();
    const plannedMap = this.#planner.plan(this.#map.sets);
    const planMs = this.#options.clock.getNow() - nowMs;
    this.#options.metrics.record('limpetbay_plan_ms', planMs);
    this.#options.metrics.increase(
      'limpetbay_plan_searches_total',
      this.#planner.countSearches() - searches,
    );
    if (plannedMap === null) {
      this.#hasSuitableMap ||= this.#planner.hasEnoughCounts();
      return;
    }
    const options = this.#createSwitchOptions(statuses, plannedMap.sets, this.#map.sets);
    this.#startSwitch(options);
    this.#options.log.report('map planned', {
      group: statuses[0]?.group,
      version: options.version,
      skewNow: Number(plannedMap.skewNow.toFixed(2)),
      skewNext: Number(plannedMap.skewNext.toFixed(2)),
      copies: plannedMap.copies,
      slowRanks: countSlow(this.#listPaces()),
      planMs: Math.round(planMs),
      holder: options.holder,
      step: this.#getOwnStatus()?.step,
      passMs: this.#getOwnStatus()?.passMs,
    });
  }

  #startSwitch(options: SwitchOptions): void {
    this.#switch = new BarrierSwitch(options);
    this.#holder = options.holder;
    this.#switchSets = options.sets;
    this.#switchStartMs = this.#options.clock.getNow();
  }

  /**
   * Releases what late orders hold after the last switch of this process was completed. All ranks are
   * still armed for it, so there is nothing to undo.
   *
   * @returns false if the holds may belong to something else
   */
  #releaseCompleted(statuses: readonly RankStatus[]): boolean {
    const completed = this.#completed;
    if (completed === null) return false;
    for (const status of statuses) {
      const { epoch, rank, held } = status;
      const isCurrent = (this.#statuses.get(rank)?.receivedMs ?? 0) > completed.atMs;
      if (epoch !== completed.epoch || (isCurrent && !isArmedFor(status, completed))) return false;
      // Another rank that holds the pass does so for the rollback of another planner.
      if (held !== null && held >= completed.step && rank !== completed.holder) return false;
    }
    if (!this.#isReleasing) void this.#releaseLate(this.#listHeld(statuses), completed);
    return true;
  }

  async #releaseLate(
    holders: readonly RankStatus[],
    { epoch, version }: CompletedSwitch,
  ): Promise<void> {
    this.#isReleasing = true;
    this.#options.log.warn('a late order holds a completed switch; releasing it', {
      version,
      holders: holders.map(({ rank }) => rank),
      steps: holders.map(({ held }) => held),
    });
    const answers: (Promise<OrderAnswer> | undefined)[] = [];
    for (const { rank, held } of holders) {
      if (held === null) continue;
      const order = { operation: 'go' as const, step: held };
      answers.push(this.#options.getRank(rank)?.order(order, epoch, null));
    }
    await Promise.all(answers);
    this.#isReleasing = false;
  }

  /**
   * Starts a switch of all ranks to one map if their maps differ. It keeps what each rank holds, so
   * that none has to load more experts than it has room for.
   */
  #repairMaps(statuses: readonly RankStatus[]): void {
    const nowMs = this.#options.clock.getNow();
    this.#mapsDifferSinceMs ??= nowMs;
    const sinceMs = this.#mapsDifferSinceMs + MAP_DIFFERENCE_TIMEOUT_MS;
    if (nowMs < sinceMs) return;
    for (const { rank } of statuses) {
      if ((this.#statuses.get(rank)?.receivedMs ?? 0) >= sinceMs) continue;
      this.#pollRank(rank, WAITING_POLL_INTERVAL_MS);
      return;
    }
    if (this.#isReadingMap || this.#model === null) return;
    void this.#startRepair(statuses, this.#model);
  }

  async #startRepair(
    statuses: readonly RankStatus[],
    { count }: NonNullable<EngineModel['experts']>,
  ): Promise<void> {
    this.#isReadingMap = true;
    const replies = await this.#readHeld(statuses);
    this.#isReadingMap = false;
    const versions = statuses.map(({ map }) => map);
    const held = assembleSets(replies, versions);
    if (held === null || this.#switch !== null) return;
    const sets = completeSets(held, count);
    this.#mapsDifferSinceMs = null;
    this.#map = null;
    this.#options.log.warn('ranks have different expert maps; changing all to one', {
      group: statuses[0]?.group,
      versions,
    });
    if (this.#listHeld(statuses).length > 0) this.#resumeSwitch(statuses, null, sets);
    else this.#startSwitch(this.#createSwitchOptions(statuses, sets, sets));
  }

  /** Lists the ranks with a hold in force; the statuses of other ranks may be older than its release. */
  #listHeld(statuses: readonly RankStatus[]): RankStatus[] {
    const step = this.#getOwnStatus()?.step ?? 0;
    return statuses.filter(({ held }) => held !== null && held > step);
  }

  /**
   * Ends the switch of a planner whose machine does not answer while the rank of this process holds
   * a pass for it. The planner's rank is armed by this process only.
   */
  #recoverWithoutPlanner(): void {
    const own = this.#getOwnStatus();
    if (own === undefined || !own.isOpen || own.held === null) return;
    const statuses: RankStatus[] = [];
    const missing: number[] = [];
    for (let rank = 0; rank < own.size; rank += 1) {
      const status = this.#getRecentStatus(rank);
      if (status === null || status.epoch !== own.epoch) missing.push(rank);
      else statuses.push(status);
    }
    const [planner] = missing;
    if (planner === undefined || missing.length > 1 || !this.#isUnanswered(planner)) return;
    if (findSwitchPlanner(statuses, own.size) !== planner) return;
    // A late order may hold a pass before the one for which the ranks are armed.
    const armed = findArmed(statuses);
    const version = armed?.version ?? findHighestVersion(statuses);
    const change = { epoch: own.epoch, step: armed?.step ?? own.held, version };
    const state = this.#options.armGuard.getState(change);
    if (state === 'armed' && statuses.every((status) => isArmedFor(status, change))) {
      this.#releaseArmed(own);
    }
    if (state !== 'not_armed') return;
    this.#options.armGuard.refuse(change);
    if (statuses.some(({ map }) => map !== own.map) || !this.#restoreActiveMap(own)) return;
    this.#recover(statuses, planner);
  }

  /** Releases the pass that the own rank holds, for which all ranks are armed. */
  #releaseArmed({ epoch, held }: RankStatus): void {
    this.#options.log.warn('releasing a pass for another planner', { step: held });
    const order = { operation: 'go' as const, step: held as number };
    void this.#options.getRank(this.#options.ownRank)?.order(order, epoch, null);
  }

  /** Returns whether a rank has not answered a poll since its last status. */
  #isUnanswered(rank: number): boolean {
    const polledMs = this.#unansweredSinceMs.get(rank) ?? Infinity;
    return this.#options.clock.getNow() - polledMs >= POLL_TIMEOUT_MS;
  }

  /**
   * Rolls back a switch that another planner, or this process before a restart, left unfinished.
   *
   * @param absent rank that does not answer and is not armed; null if all ranks answer
   */
  #recover(statuses: readonly RankStatus[], absent: number | null): void {
    if (this.#map !== null) this.#resumeSwitch(statuses, absent, this.#map.sets);
  }

  /** @param sets map that the ranks have, to which the switch is rolled back */
  #resumeSwitch(statuses: readonly RankStatus[], absent: number | null, sets: ExpertSets): void {
    const holds: { rank: number; step: number }[] = [];
    for (const { rank, held } of this.#listHeld(statuses)) {
      if (held !== null) holds.push({ rank, step: held });
    }
    if (holds.length === 0) return;
    const armed = findArmed(statuses);
    const boundary = armed?.step ?? Math.min(...holds.map(({ step }) => step));
    const fence = this.#chooseFence(statuses, boundary);
    if (fence === null) return;
    const options = { ...this.#createSwitchOptions(statuses, sets, sets), fence };
    this.#switch = BarrierSwitch.resume(options, {
      holds,
      boundary,
      armedVersion: armed?.version ?? this.#lastVersion,
      absent,
    });
    this.#switchStartMs = this.#options.clock.getNow();
    this.#options.log.warn('rolling back an unfinished switch', {
      group: statuses[0]?.group,
      holds,
      step: boundary,
      armed: armed?.version,
      absent,
    });
  }

  /**
   * Returns the rank that holds the pass of an unfinished switch during its rollback; null if each
   * holds another one. It is best one that has not held the pass, and so not the likely holder of the
   * switch: a release that was ordered before may still be carried out.
   */
  #chooseFence(statuses: readonly RankStatus[], boundary: number): number | null {
    const size = statuses[0]?.size ?? 0;
    const planner = findSwitchPlanner(statuses, size);
    let best: { readonly rank: number; readonly drawbacks: number } | null = null;
    for (const { rank, held } of statuses) {
      if (held !== null && held !== boundary) continue;
      let drawbacks = rank === this.#options.ownRank ? 0 : 1;
      if (planner !== null && rank === (planner + 1) % size) drawbacks += 2;
      if (this.#options.getRank(rank)?.getPath() === 'direct') drawbacks += 4;
      if (held !== null) drawbacks += 8;
      if (drawbacks < (best?.drawbacks ?? Infinity)) best = { rank, drawbacks };
    }
    return best?.rank ?? null;
  }

  #createSwitchOptions(
    statuses: readonly RankStatus[],
    sets: ExpertSets,
    rollbackSets: ExpertSets,
  ): SwitchOptions {
    const size = statuses[0]?.size ?? 0;
    const { ownRank } = this.#options;
    const highestVersion = Math.max(this.#lastVersion, findHighestVersion(statuses));
    // Each rank has its own version numbers, so that two planners never use the same one.
    const firstVersion = (Math.floor(highestVersion / (2 * size)) + 1) * 2 * size;
    const version = firstVersion + ownRank;
    this.#lastVersion = version + size;
    this.#mapOrders.clear();
    this.#addMapOrder(version, sets, size);
    this.#addMapOrder(version + size, rollbackSets, size);
    const holder = this.#chooseHolder(size);
    return {
      epoch: statuses[0]?.epoch ?? 0,
      size,
      holder,
      planner: ownRank,
      fence: holder === ownRank ? (ownRank + 1) % size : ownRank,
      firstBoundary: this.#boundaries.getFirst(),
      version,
      sets,
      rollbackVersion: version + size,
      rollbackSets,
    };
  }

  /**
   * Returns the rank that holds the pass of a switch: the next one, whose agent plans next if this
   * machine fails and can then release the hold. Planners of different ranks have different holders.
   */
  #chooseHolder(size: number): number {
    const { ownRank, getRank } = this.#options;
    for (let distance = 1; distance < size; distance += 1) {
      const rank = (ownRank + distance) % size;
      if (getRank(rank)?.getPath() === 'agent') return rank;
    }
    return ownRank;
  }

  #addMapOrder(version: number, sets: ExpertSets, size: number): void {
    if (this.#map === null || this.#model === null) return;
    const { sets: setCount, count } = this.#model;
    const isInitial = this.#map.version === 0;
    // Agents compute the initial map themselves; the engine may list its copies differently.
    const baseSets = isInitial ? createInitialMap(setCount, count, size) : this.#map.sets;
    const base = { version: this.#map.version, sets: baseSets };
    const order = createMapOrder(base, { version, sets });
    if (order !== null) this.#mapOrders.set(version, order);
  }

  #advanceSwitch(current: BarrierSwitch): void {
    const own = this.#getOwnStatus();
    const elapsedMs = this.#options.clock.getNow() - this.#switchStartMs;
    if (current.getPhase() === 'preparing' && elapsedMs > PREPARE_TIMEOUT_MS) current.abort();
    if (current.isFinished() || own === undefined) {
      this.#finishSwitch(current);
      return;
    }
    this.#warnIfHolding(current);
    if (this.#getHeldMs() > PLANNER_ARM_TIMEOUT_MS) current.withdraw();
    for (const { rank, order } of current.listOrders(own.step)) {
      void this.#sendOrder(current, rank, order);
    }
  }

  #getHeldMs(): number {
    return this.#holdStartMs === null ? 0 : this.#options.clock.getNow() - this.#holdStartMs;
  }

  /** Tells once a second which ranks a switch waits for while it holds the group for long. */
  #warnIfHolding(current: BarrierSwitch): void {
    if (this.#holdStartMs === null) return;
    const nowMs = this.#options.clock.getNow();
    const sinceMs = Math.max(this.#holdStartMs, this.#lastHoldWarningMs);
    if (nowMs - sinceMs < HOLD_WARNING_INTERVAL_MS) return;
    this.#lastHoldWarningMs = nowMs;
    this.#options.log.warn('map switch holds the group and waits for ranks', {
      version: current.getVersion(),
      phase: current.getPhase(),
      ranks: current.listUnconfirmed(),
      heldMs: Math.round(nowMs - this.#holdStartMs),
    });
  }

  async #sendOrder(current: BarrierSwitch, rank: number, order: RankOrder): Promise<void> {
    const { epoch } = current;
    const sentMs = this.#options.clock.getNow();
    const handle = this.#options.getRank(rank);
    const path = handle?.getPath() ?? 'none';
    const answer = (await this.#passOrder(handle, rank, order, epoch)) ?? 'lost';
    const ms = Math.round(this.#options.clock.getNow() - sentMs);
    this.#options.metrics.increase(
      `limpetbay_orders_total{operation="${order.operation}",path="${path}",answer="${answer}"}`,
    );
    this.#options.metrics.record(`limpetbay_order_ms{operation="${order.operation}"}`, ms);
    if (answer !== 'done') {
      this.#options.log.warn('order to a rank refused or unanswered', {
        rank,
        operation: order.operation,
        version: current.getVersion(),
        path,
        answer,
        ms,
      });
    }
    const previousPhase = current.getPhase();
    current.handleAnswer(rank, order, answer);
    if (previousPhase !== current.getPhase()) this.#reportPhase(current);
    if (this.#switch !== current) return;
    if (current.isFinished()) this.#finishSwitch(current);
    else this.advance();
  }

  #passOrder(
    handle: RankHandle | null,
    rank: number,
    order: RankOrder,
    epoch: number,
  ): Promise<OrderAnswer> | undefined {
    const { ownRank, getRank } = this.#options;
    if (order.operation === 'arm' && rank === ownRank && this.#holder !== ownRank) {
      return getRank(this.#holder)?.armPlanner(order, epoch);
    }
    const mapOrder =
      order.operation === 'prepare' ? (this.#mapOrders.get(order.version) ?? null) : null;
    return handle?.order(order, epoch, mapOrder);
  }

  #reportPhase(current: BarrierSwitch): void {
    if (current.isHolding()) this.#holdStartMs ??= this.#options.clock.getNow();
    this.#options.log.report('map switch entered a new phase', {
      version: current.getVersion(),
      phase: current.getPhase(),
      step: current.getBoundary(),
      ms: Math.round(this.#options.clock.getNow() - this.#switchStartMs),
    });
  }

  #finishSwitch(current: BarrierSwitch): void {
    const ms = Math.round(this.#options.clock.getNow() - this.#switchStartMs);
    const isSuccessful = current.getPhase() === 'done';
    const heldMs = Math.round(this.#getHeldMs());
    this.#holdStartMs = null;
    this.#options.metrics.increase('limpetbay_held_ms_total', heldMs);
    this.#switch = null;
    this.#boundaries.recordUse(current.epoch, current.getNextBoundary());
    this.#options.metrics.increase(`limpetbay_map_switches_total{done="${String(isSuccessful)}"}`);
    this.#options.log.report(isSuccessful ? 'expert map active' : 'map switch failed', {
      version: current.getVersion(),
      step: current.getBoundary(),
      ms,
      heldMs,
    });
    if (!isSuccessful) {
      // The engine may list the copies of its initial map in another way than the agents.
      if (this.#map?.version === 0) this.#map = null;
      return;
    }
    const { epoch } = current;
    const version = current.getVersion();
    this.#map = { version, epoch, sets: this.#switchSets };
    const step = current.getBoundary() ?? 0;
    const atMs = this.#options.clock.getNow();
    this.#completed = { epoch, version, step, holder: this.#holder, atMs };
    this.#hasSuitableMap = true;
  }

  async #readActiveMap(statuses: readonly RankStatus[]): Promise<void> {
    if (this.#isReadingMap) return;
    this.#isReadingMap = true;
    const [first] = statuses;
    const replies = await this.#readHeld(statuses);
    this.#isReadingMap = false;
    if (first === undefined) return;
    const sets = assembleSets(replies, new Array<number>(statuses.length).fill(first.map));
    if (sets === null) return;
    this.#map = { version: first.map, epoch: first.epoch, sets };
    // A group starts with map 0, which is built without knowledge of the demand.
    this.#hasSuitableMap = first.map > 0;
    this.#options.log.report('active expert map read', { group: first.group, version: first.map });
  }

  #readHeld(statuses: readonly RankStatus[]): Promise<(HeldReply | null)[]> {
    return Promise.all(statuses.map(({ rank }) => this.#options.getRank(rank)?.readHeld() ?? null));
  }
}

/**
 * Assembles the experts that the ranks hold, by set.
 *
 * @param versions version of the map that each rank should have
 * @returns null unless all ranks have answered and have it
 */
function assembleSets(
  replies: readonly (HeldReply | null)[],
  versions: readonly number[],
): ExpertSets | null {
  const sets: number[][][] = [];
  for (const [rank, version] of versions.entries()) {
    const reply = replies[rank] ?? null;
    if (reply?.version !== version) return null;
    for (const [set, experts] of reply.sets.entries()) {
      (sets[set] ??= [])[rank] = [...experts].sort((a, b) => a - b);
    }
  }
  return sets;
}

/** Returns the highest version of a map that a rank uses, has prepared or is armed for. */
function findHighestVersion(statuses: readonly RankStatus[]): number {
  let highest = 0;
  for (const { map, prepared, armed } of statuses) {
    highest = Math.max(highest, map, prepared ?? 0, armed?.version ?? 0);
  }
  return highest;
}

/** Returns the first change for which a rank is armed and whose pass has not begun; null if none is. */
function findArmed(statuses: readonly RankStatus[]): RankStatus['armed'] {
  let first: RankStatus['armed'] = null;
  for (const { step, armed } of statuses) {
    if (armed !== null && armed.step > step && armed.step < (first?.step ?? Infinity)) {
      first = armed;
    }
  }
  return first;
}

function isArmedFor(
  { armed }: RankStatus,
  change: { readonly version: number; readonly step: number },
): boolean {
  return armed?.version === change.version && armed.step === change.step;
}

/** Returns the rank of the planner whose map was prepared last; null if none is prepared. */
function findSwitchPlanner(statuses: readonly RankStatus[], size: number): number | null {
  let highest = 0;
  for (const { prepared, armed } of statuses) {
    highest = Math.max(highest, prepared ?? 0, armed?.version ?? 0);
  }
  return highest === 0 ? null : highest % size;
}

/** Returns the number of ranks that are slower than ordinary ones. */
function countSlow(paces: readonly number[]): number {
  return paces.filter((pace) => pace > 1).length;
}
