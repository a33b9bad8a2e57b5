import {
  GroupPlanner,
  BarrierSwitch,
  type Clock,
  type EngineModel,
  type ExpertSets,
  type RankOrder,
  type RankStatus,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { PlannerRank } from './PlannerRank.js';

interface MapPlannerOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Rank beside this process; it holds the boundary passes. */
  readonly self: number;
  readonly getRank: (rank: number) => PlannerRank | null;
}

/** A status older than this says nothing about the rank, milliseconds. */
const STATUS_MAX_AGE_MS = 1100;

/** A rank whose status is older is asked itself, at most once in the same time, milliseconds. */
const POLL_AFTER_MS = 900;

/** A map that is not loaded after this time is given up; loading takes a few hundred, milliseconds. */
const PREPARE_TIMEOUT_MS = 4000;

/** A hold that no switch of this process explains is undone after this time, milliseconds. */
const STRANGE_HOLD_MS = 300;

/** Shortest time between two plans, milliseconds. */
const PLAN_INTERVAL_MS = 100;

/** The plan after a shift comes this much earlier, so that it meets the next interval's end. */
const SHIFT_PLAN_ADVANCE_MS = 10;

/** Plans the maps of the group around this process's rank and carries out the switches. */
export class MapPlanner {
  readonly #options: MapPlannerOptions;

  readonly #statuses = new Map<number, { status: RankStatus; atMs: number }>();

  #planner: GroupPlanner | null = null;

  #model: NonNullable<EngineModel['experts']> | null = null;

  /** The map in force; null while it is unknown. */
  #present: { readonly version: number; readonly epoch: number; readonly sets: ExpertSets } | null =
    null;

  #switch: BarrierSwitch | null = null;

  #switchSets: ExpertSets = [];

  /** Whether the map in force fits the demand; unknown counts as false. */
  #isMapped = false;

  #isReading = false;

  /** Whether the last interval of counts differed from the estimate. */
  #isShifting = false;

  #lastVersion = 0;

  #lastPlanMs = -Infinity;

  #switchFromMs = 0;

  /** Since when some rank holds a pass without a switch; null where none does. */
  #strangeFromMs: number | null = null;

  readonly #polledMs = new Map<number, number>();

  constructor(options: MapPlannerOptions) {
    this.#options = options;
  }

  isSwitching(): boolean {
    return this.#switch !== null;
  }

  /** Tells whether the map in force fits the demand, as far as this process has planned. */
  isMapped(): boolean {
    const own = this.#statuses.get(this.#options.self)?.status;
    return this.#isMapped && this.#present?.epoch === own?.epoch;
  }

  setModel(model: NonNullable<EngineModel['experts']> | null): void {
    const isSame = JSON.stringify(model) === JSON.stringify(this.#model);
    if (isSame) return;
    this.#model = model;
    this.#planner = model === null ? null : new GroupPlanner(this.#options.clock, model);
  }

  acceptStatus(status: RankStatus): void {
    this.#statuses.set(status.rank, { status, atMs: this.#options.clock.getNow() });
    const before = this.#switch?.getPhase();
    this.#switch?.handleStatus(status);
    if (this.#switch !== null && before !== this.#switch.getPhase()) {
      this.#reportPhase(this.#switch);
    }
  }

  acceptCounts(counts: ArrayLike<number>): void {
    this.#planner?.addCounts(counts);
  }

  /** Ends an interval of counts, whether or not this process plans at the moment. */
  closeInterval(): void {
    const wasShifting = this.#isShifting;
    this.#isShifting = this.#planner?.closeInterval() === true;
    if (!this.#isShifting || wasShifting) return;
    const phase = this.#switch?.getPhase() ?? 'none';
    this.#options.log.report('demand for experts has shifted', { switch: phase });
    // Counts of this interval are of the old and the new demand; the next plan waits for one more.
    this.#lastPlanMs = this.#options.clock.getNow() - SHIFT_PLAN_ADVANCE_MS;
    // A map that was planned for the old demand is not worth waiting for.
    if (phase === 'preparing') this.#switch?.abort();
  }

  /** Does what is due; only for the process that plans for the group. */
  advance(): void {
    this.#pollSilent();
    if (this.#switch === null) {
      const statuses = this.#listStatuses();
      if (statuses !== null) this.#startNext(statuses);
    }
    if (this.#switch !== null) this.#continueSwitch(this.#switch);
  }

  /** Forgets the map, because another process has planned meanwhile. */
  forget(): void {
    this.#present = null;
    this.#isMapped = false;
  }

  #pollSilent(): void {
    const nowMs = this.#options.clock.getNow();
    const size = this.#statuses.get(this.#options.self)?.status.size ?? 0;
    for (let rank = 0; rank < size; rank += 1) {
      const heardMs = this.#statuses.get(rank)?.atMs ?? -Infinity;
      const polledMs = this.#polledMs.get(rank) ?? -Infinity;
      if (nowMs - Math.max(heardMs, polledMs) < POLL_AFTER_MS) continue;
      this.#polledMs.set(rank, nowMs);
      void this.#options.getRank(rank)?.pollStatus();
    }
  }

  /** Lists the statuses of all ranks in order; null unless all are fresh and of one formation. */
  #listStatuses(): RankStatus[] | null {
    const own = this.#statuses.get(this.#options.self)?.status;
    if (own === undefined || !own.isOpen) return null;
    const oldestMs = this.#options.clock.getNow() - STATUS_MAX_AGE_MS;
    const statuses: RankStatus[] = [];
    for (let rank = 0; rank < own.size; rank += 1) {
      const known = this.#statuses.get(rank);
      if (known === undefined || known.atMs < oldestMs) return null;
      if (known.status.epoch !== own.epoch) return null;
      statuses.push(known.status);
    }
    return statuses;
  }

  #startNext(statuses: readonly RankStatus[]): void {
    const [first] = statuses;
    if (first === undefined) return;
    const { epoch } = first;
    const isHeld = statuses.some(({ held }) => held !== null);
    const isArmed = statuses.some(({ armed }) => armed !== null);
    const isSettled = statuses.every(({ map }) => map === first.map);
    if (this.#present === null || this.#present.epoch !== epoch) {
      if (isSettled) void this.#readPresent(statuses);
      return;
    }
    if (!isHeld) this.#strangeFromMs = null;
    else if (this.#isStrangeForLong()) this.#recover(statuses);
    if (isHeld || isArmed || !isSettled) return;
    if (first.map !== this.#present.version) {
      void this.#readPresent(statuses);
      return;
    }
    this.#plan(statuses);
  }

  /** Statuses from before a release still show the hold, so only a lasting one is strange. */
  #isStrangeForLong(): boolean {
    const nowMs = this.#options.clock.getNow();
    this.#strangeFromMs ??= nowMs;
    return nowMs - this.#strangeFromMs >= STRANGE_HOLD_MS;
  }

  #plan(statuses: readonly RankStatus[]): void {
    const nowMs = this.#options.clock.getNow();
    if (this.#planner === null || this.#present === null) return;
    if (nowMs - this.#lastPlanMs < PLAN_INTERVAL_MS) return;
    this.#lastPlanMs = nowMs;
    const planned = this.#planner.plan(this.#present.sets);
    const planMs = this.#options.clock.getNow() - nowMs;
    this.#options.metrics.record('limpetbay_plan_ms', planMs);
    if (planned === null) {
      this.#isMapped ||= this.#planner.hasEnoughCounts();
      return;
    }
    const options = this.#createOptions(statuses, planned.sets);
    this.#switch = new BarrierSwitch(options);
    this.#switchSets = planned.sets;
    this.#switchFromMs = nowMs;
    this.#options.log.report('map planned', {
      group: statuses[0]?.group,
      version: options.version,
      skewNow: Number(planned.skewNow.toFixed(2)),
      skewNext: Number(planned.skewNext.toFixed(2)),
      copies: planned.copies,
      planMs: Math.round(planMs),
      step: statuses[this.#options.self]?.step,
      passMs: statuses[this.#options.self]?.passMs,
    });
  }

  /** Undoes a switch that another planner left, or that this process has forgotten. */
  #recover(statuses: readonly RankStatus[]): void {
    const holder = statuses.find(({ held }) => held !== null);
    if (holder === undefined || this.#present === null) return;
    const armed = statuses.find((status) => status.armed !== null)?.armed ?? null;
    const options = {
      ...this.#createOptions(statuses, this.#present.sets),
      holder: holder.rank,
    };
    this.#switch = BarrierSwitch.resume(
      options,
      holder.held as number,
      armed?.version ?? this.#lastVersion,
    );
    this.#switchFromMs = this.#options.clock.getNow();
    this.#options.log.warn('undoing an unfinished switch', {
      group: holder.group,
      holder: holder.rank,
      step: holder.held,
      armed: armed?.version,
    });
  }

  #createOptions(
    statuses: readonly RankStatus[],
    sets: ExpertSets,
  ): ConstructorParameters<typeof BarrierSwitch>[0] {
    const size = statuses.length;
    let highest = this.#lastVersion;
    for (const { map, prepared, armed } of statuses) {
      highest = Math.max(highest, map, prepared ?? 0, armed?.version ?? 0);
    }
    // Each rank has numbers of its own, so that two planners never use one version.
    const base = (Math.floor(highest / (2 * size)) + 1) * 2 * size;
    const version = base + this.#options.self;
    this.#lastVersion = version + size;
    return {
      epoch: statuses[0]?.epoch ?? 0,
      size,
      holder: this.#options.self,
      version,
      sets,
      rollbackVersion: version + size,
      rollbackSets: this.#present?.sets ?? [],
    };
  }

  #continueSwitch(current: BarrierSwitch): void {
    const own = this.#statuses.get(this.#options.self)?.status;
    const sinceMs = this.#options.clock.getNow() - this.#switchFromMs;
    if (current.getPhase() === 'preparing' && sinceMs > PREPARE_TIMEOUT_MS) current.abort();
    if (current.isFinished() || own === undefined) {
      this.#finishSwitch(current);
      return;
    }
    for (const { rank, order } of current.listOrders(own.step)) {
      void this.#sendOrder(current, rank, order);
    }
  }

  async #sendOrder(current: BarrierSwitch, rank: number, order: RankOrder): Promise<void> {
    const { epoch } = current;
    const answer = (await this.#options.getRank(rank)?.order(order, epoch)) ?? 'lost';
    this.#options.metrics.increase(
      `limpetbay_orders_total{operation="${order.operation}",answer="${answer}"}`,
    );
    if (answer !== 'done') {
      this.#options.log.warn('order not carried out', {
        rank,
        operation: order.operation,
        version: current.getVersion(),
        answer,
      });
    }
    const before = current.getPhase();
    current.handleAnswer(rank, order, answer);
    if (before !== current.getPhase()) this.#reportPhase(current);
    if (this.#switch !== current) return;
    if (current.isFinished()) this.#finishSwitch(current);
    else this.advance();
  }

  #reportPhase(current: BarrierSwitch): void {
    this.#options.log.report('switch goes on', {
      version: current.getVersion(),
      phase: current.getPhase(),
      ms: Math.round(this.#options.clock.getNow() - this.#switchFromMs),
    });
  }

  #finishSwitch(current: BarrierSwitch): void {
    const ms = Math.round(this.#options.clock.getNow() - this.#switchFromMs);
    const isDone = current.getPhase() === 'done';
    this.#switch = null;
    this.#options.metrics.increase(`limpetbay_map_switches_total{done="${String(isDone)}"}`);
    this.#options.log.report(isDone ? 'map released' : 'switch failed', {
      version: current.getVersion(),
      ms,
    });
    if (!isDone || this.#present === null) return;
    const { epoch } = this.#present;
    this.#present = { version: current.getVersion(), epoch, sets: this.#switchSets };
    this.#isMapped = true;
  }

  async #readPresent(statuses: readonly RankStatus[]): Promise<void> {
    if (this.#isReading) return;
    this.#isReading = true;
    const [first] = statuses;
    const held = await Promise.all(
      statuses.map(({ rank }) => this.#options.getRank(rank)?.readHeld() ?? null),
    );
    this.#isReading = false;
    if (first === undefined) return;
    const sets: number[][][] = [];
    for (const [rank, reply] of held.entries()) {
      if (reply === null || reply.version !== first.map) return;
      for (const [set, experts] of reply.sets.entries()) (sets[set] ??= [])[rank] = experts;
    }
    this.#present = { version: first.map, epoch: first.epoch, sets };
    // A group begins with map 0, which is made without knowing the demand.
    this.#isMapped = first.map > 0;
    this.#options.log.report('map read', { group: first.group, version: first.map });
  }
}
