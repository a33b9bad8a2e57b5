import type { Clock } from '../clock/Clock.js';
import type { RandomSource } from '../random/RandomSource.js';
import { urgentPace } from '../experts/urgentPace.js';
import type { ColdLimiter } from './ColdLimiter.js';
import { computePassGapFraction } from './computePassGapFraction.js';
import { computeSlotFraction } from './computeSlotFraction.js';
import type { DirectService } from './DirectService.js';
import type { DirectTarget } from './DirectTarget.js';
import type { EngineModel } from './EngineModel.js';
import { FreeSlotShares } from './FreeSlotShares.js';
import type { PickResult } from './PickResult.js';
import type { GroupReport } from './GroupReport.js';
import { GroupStates } from './GroupStates.js';
import type { TargetCheck } from './TargetCheck.js';
import type { TargetHolds } from './TargetHolds.js';
import type { TargetPace } from './TargetPace.js';
import type { TargetRegistry } from './TargetRegistry.js';
import { TargetStats } from './TargetStats.js';
import { computeDrawWeights } from './computeDrawWeights.js';
import { drawTargets } from './drawTargets.js';

/** Sums over the ranks of a group, from the last load report. */
interface GroupSlots {
  free: number;
  active: number;
  sent: number;
  readonly durationMs: number;
}

interface TargetLimits {
  readonly isLimited: (target: DirectTarget) => boolean;
  /** Returns whether a limited target may take a request; true for others. */
  readonly hasCapacity: (target: DirectTarget) => boolean;
}

interface PickerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly registry: TargetRegistry;
  readonly coldLimiter: ColdLimiter;
  /** Limits that targets named. */
  readonly limits: TargetLimits;
  /** Targets that asked for no further requests. */
  readonly holds: TargetHolds;
  /** Paces requests to fresh and recovered targets; none are paced if absent. */
  readonly pace?: TargetPace;
  /** Returns the number of entries that send to the same targets. */
  readonly countEntries: () => number;
}

interface PickRequest {
  readonly service: DirectService;
  /** Ids of targets that already failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Longest gap between events that meets the objective, milliseconds; null for other requests. */
  readonly gapMs: number | null;
  /** Whether targets that named a limit may be chosen. */
  readonly mayUseLimited: boolean;
  /** 0 for the most urgent class of the service, then 1 and so on. */
  readonly urgencyRank: number;
  /** Whether the request can no longer meet its objective. */
  readonly isLate: boolean;
  /** Whether it has waited for a slot; many entries then try to start such requests at once. */
  readonly hasWaited: boolean;
  /** Returns whether a rank with that many requests has KV memory for this one; not checked if absent. */
  readonly hasKvSpace?: (targetId: string, occupancy: number) => boolean;
}

/** Requests in flight that weigh as much as one recent failure in the score of a target. */
const FAILURE_WEIGHT_REQUESTS = 4;

/**
 * Requests sent to a rank while its group still uses its initial expert map. They suffice to measure
 * demand; more would all miss their objective, and their long passes would delay the next map.
 */
const INITIAL_MAP_SLOTS_PER_RANK = 2;

/** Least time between two searches for targets and groups that are gone, milliseconds. */
const EXPIRY_INTERVAL_MS = 10_000;

/** What is gone for longer is forgotten, milliseconds; a target may come back before. */
const GONE_RETENTION_MS = 60_000;

/** Ranks compared for one request; two bound the longest queue almost as well as all. */
const CANDIDATE_COUNT = 2;

/** Chooses the target of a request: the least loaded of those that may receive it. */
export class TargetPicker {
  readonly #options: PickerOptions;

  readonly #stats = new Map<string, TargetStats>();

  readonly #groups: GroupStates;

  readonly #slotShares: FreeSlotShares;

  /** Zones from which operators have withdrawn new work. */
  #evacuated: ReadonlySet<string> = new Set();

  #expiredMs = -Infinity;

  constructor(options: PickerOptions) {
    this.#options = options;
    this.#groups = new GroupStates(options.clock);
    this.#slotShares = new FreeSlotShares(options.clock, options.random);
  }

  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
    this.#options.pace?.setEvacuated(zones);
  }

  getStats(id: string): TargetStats {
    let stats = this.#stats.get(id);
    if (stats === undefined) {
      stats = new TargetStats();
      this.#stats.set(id, stats);
    }
    return stats;
  }

  /** Updates the state of a group and the loads of its ranks. */
  handleReport(report: GroupReport): void {
    const nowMs = this.#options.clock.getNow();
    this.#groups.handleReport(report);
    // A report of one rank says nothing of the slots of the others.
    if (report.ranks.length > 1) this.#slotShares.handleReport(report.group);
    this.#options.pace?.handleReport(report);
    const loads = new Map(report.ranks.map((load) => [load.address, load]));
    for (const target of this.#options.registry.listAll()) {
      const load = loads.get(target.address);
      if (load !== undefined) this.getStats(target.id).handleLoad(load, nowMs);
    }
  }

  /** Returns the duration of the passes of the target's group, milliseconds; undefined if not known. */
  getPassMs(target: DirectTarget): number | undefined {
    return this.#groups.getReport(target.address)?.passMs;
  }

  /** Returns whether a report of the target's group is overdue, or none has arrived. */
  isReportOverdue(target: DirectTarget): boolean {
    return this.#groups.isReportOverdue(target.address);
  }

  /** Forgets targets and groups that are gone; call it at an interval. */
  expire(): void {
    const { clock, registry, coldLimiter } = this.#options;
    const nowMs = clock.getNow();
    if (nowMs - this.#expiredMs < EXPIRY_INTERVAL_MS) return;
    this.#expiredMs = nowMs;
    const isKnown = (id: string): boolean => registry.isKnown(id);
    for (const [id, stats] of this.#stats) {
      if (!isKnown(id) && stats.isIdle(nowMs)) this.#stats.delete(id);
    }
    coldLimiter.expire(isKnown);
    const sinceMs = nowMs - GONE_RETENTION_MS;
    const addresses = new Set(registry.listAll().map(({ address }) => address));
    this.#groups.expire(addresses, sinceMs);
    this.#slotShares.expire(sinceMs);
  }

  /** Returns the number of targets, ranks and groups in memory. */
  countRemembered(): number {
    const { coldLimiter } = this.#options;
    const groups = this.#groups.count() + this.#slotShares.count();
    return this.#stats.size + coldLimiter.count() + groups;
  }

  /** Chooses a target for a request and counts it against the rate of a cold one. */
  pick(request: PickRequest): PickResult {
    const usable = this.#listUsable(request);
    const { holds } = this.#options;
    if (holds.count() === 0) return this.#pickFrom(usable, request);
    const open = usable.filter((target) => holds.getState(target) === 'open');
    const picked = this.#pickFrom(open, request);
    if (picked.target !== null) return picked;
    const leaving = usable.filter((target) => holds.getState(target) === 'last_resort');
    if (leaving.length > 0) return this.#pickFrom(leaving, request);
    const isBackingOff = usable.some((target) => holds.getState(target) === 'backing_off');
    return isBackingOff && open.length === 0 ? { target: null, reason: 'target_backoff' } : picked;
  }

  /**
   * Lists all targets of the service, each with the first rule of `pick` that excludes it. Takes no
   * token, draws no random number and does not count as a query of a rank that never reported.
   */
  check(request: PickRequest): TargetCheck[] {
    const { registry, holds, countEntries, clock } = this.#options;
    const hasGroups = (request.service.engine?.experts ?? null) !== null;
    const usable = new Set(this.#listUsable(request));
    const isOpen = ({ address }: DirectTarget): boolean =>
      this.#groups.isOpen(address, hasGroups, false);
    const isShareUsed = (hold: TargetCheck['hold']): boolean =>
      this.#isInitialMapShareUsed(
        [...usable].filter((target) => holds.getState(target) === hold && isOpen(target)),
      );
    const sharesUsed = { open: isShareUsed('open'), last_resort: isShareUsed('last_resort') };
    const findExclusion = (target: DirectTarget): TargetCheck['exclusion'] => {
      if (target.isDraining) return 'draining';
      if (this.#evacuated.has(target.zone)) return 'zone_out';
      if (!usable.has(target)) return 'failed_before';
      const hold = holds.getState(target);
      if (hold === 'closed') return 'left';
      if (hold === 'backing_off') return 'backing_off';
      if (!isOpen(target)) {
        return this.#groups.isForming(target.address) ? 'group_forming' : 'group_closed';
      }
      if (!this.#isWithinLimit(target, request)) return 'limited';
      if (!this.#isWithinColdRate(target.id, request.service)) return 'cold';
      if (sharesUsed[hold] && this.#groups.hasInitialMap(target.address)) return 'initial_map';
      return this.#canAdmit(target, request) ? null : 'busy';
    };
    const nowMs = clock.getNow();
    return registry.listTargets(request.service.name).map((target) => {
      const stats = this.#stats.get(target.id) ?? new TargetStats();
      return {
        target,
        exclusion: findExclusion(target),
        hold: holds.getState(target),
        isCold: registry.isCold(target.id),
        inFlight: stats.inFlight,
        occupancy: stats.estimateOccupancy(nowMs, countEntries()),
        failures: stats.getFailures(nowMs),
        paceLevel: this.#options.pace?.getLevel(target) ?? 1,
        passMs: this.#groups.getReport(target.address)?.passMs ?? null,
      };
    });
  }

  #pickFrom(usable: readonly DirectTarget[], request: PickRequest): PickResult {
    const hasGroups = (request.service.engine?.experts ?? null) !== null;
    const open = usable.filter(({ address }) => this.#groups.isOpen(address, hasGroups));
    if (open.length === 0) {
      const isForming = usable.some(({ address }) => this.#groups.isForming(address));
      return { target: null, reason: isForming ? 'not_formed' : 'no_target' };
    }
    const withinLimit = open.filter((target) => this.#isWithinLimit(target, request));
    if (withinLimit.length === 0) return { target: null, reason: 'target_limited' };
    const ready = withinLimit.filter(({ id }) => this.#isWithinColdRate(id, request.service));
    if (ready.length === 0) return { target: null, reason: 'target_cold' };
    const isShareUsed = this.#isInitialMapShareUsed(open);
    const fullGroups = this.#findFullGroups(open, request);
    const admitted = ready.filter(
      (target) =>
        !(isShareUsed && this.#groups.hasInitialMap(target.address)) &&
        !fullGroups.has(this.#groups.getReport(target.address)?.group ?? '') &&
        this.#canAdmit(target, request),
    );
    if (admitted.length === 0) {
      const isForming =
        isShareUsed && ready.some(({ address }) => this.#groups.hasInitialMap(address));
      return { target: null, reason: isForming ? 'not_formed' : 'overloaded' };
    }
    const target = this.#chooseLeastLoaded(
      this.#sampleCandidates(this.#filterByPace(admitted, request.service), request),
      request.service,
    );
    if (this.#options.registry.isCold(target.id)) this.#options.coldLimiter.take(target.id);
    return { target, reason: `least loaded of ${admitted.length}` };
  }

  #listUsable({ service, excluded }: PickRequest): DirectTarget[] {
    const usable: DirectTarget[] = [];
    for (const target of this.#options.registry.listTargets(service.name)) {
      if (target.isDraining || this.#evacuated.has(target.zone)) continue;
      if (!excluded.has(target.id)) usable.push(target);
    }
    return usable;
  }

  #isWithinLimit(target: DirectTarget, { mayUseLimited }: PickRequest): boolean {
    const { limits } = this.#options;
    return mayUseLimited ? limits.hasCapacity(target) : !limits.isLimited(target);
  }

  #isWithinColdRate(id: string, service: DirectService): boolean {
    if (!this.#options.registry.isCold(id) || service.coldPerSecond <= 0) return true;
    return this.#options.coldLimiter.hasCapacity(id, service.coldPerSecond);
  }

  #filterByPace(targets: readonly DirectTarget[], service: DirectService): readonly DirectTarget[] {
    const { pace } = this.#options;
    return pace?.filterTargets(targets, service, (id) => this.getStats(id).inFlight) ?? targets;
  }

  /**
   * Finds the groups of which this entry has filled its share of the free slots.
   *
   * @param targets all that are open, also those that only other entries may use now
   */
  #findFullGroups(targets: readonly DirectTarget[], request: PickRequest): ReadonlySet<string> {
    const full = new Set<string>();
    const { engine } = request.service;
    // New requests arrive spread over time; those that waited would all start at the next report.
    if (engine === null || !request.hasWaited) return full;
    const groups = new Map<string, GroupSlots>();
    const nowMs = this.#options.clock.getNow();
    const fraction = computeSlotFraction(request.urgencyRank, request.isLate);
    for (const target of targets) {
      const report = this.#groups.getReport(target.address);
      const stats = this.getStats(target.id);
      const load = stats.getLoad(nowMs);
      if (report === null || load === null) continue;
      const durationMs = estimateDurationMs(engine, report.passMs);
      const group = groups.get(report.group) ?? { free: 0, active: 0, sent: 0, durationMs };
      group.free += Math.max(0, fraction * target.capacity - load.active - load.queued);
      group.active += load.active;
      group.sent += stats.countUnreported();
      groups.set(report.group, group);
    }
    for (const [name, group] of groups) {
      if (!this.#slotShares.hasShare(name, group, this.#options.countEntries())) full.add(name);
    }
    return full;
  }

  #canAdmit(target: DirectTarget, request: PickRequest): boolean {
    const { service, gapMs, urgencyRank, isLate } = request;
    if (service.engine === null) return true;
    const nowMs = this.#options.clock.getNow();
    const passMs = this.#groups.getReport(target.address)?.passMs ?? 0;
    if (gapMs !== null && passMs > computePassGapFraction(urgencyRank) * gapMs) return false;
    const occupancy = this.getStats(target.id).estimateOccupancy(
      nowMs,
      this.#options.countEntries(),
    );
    if (request.hasKvSpace?.(target.id, occupancy) === false) return false;
    return occupancy < computeSlotFraction(urgencyRank, isLate) * target.capacity;
  }

  /**
   * Returns whether this entry has used its share of the slots of groups with an initial map. All
   * entries see such a group empty at the same moment and would overload it together.
   */
  #isInitialMapShareUsed(targets: readonly DirectTarget[]): boolean {
    let slots = 0;
    let inFlight = 0;
    for (const { id, address } of targets) {
      if (!this.#groups.hasInitialMap(address)) continue;
      slots += INITIAL_MAP_SLOTS_PER_RANK;
      inFlight += this.getStats(id).inFlight;
    }
    return inFlight >= Math.max(1, slots / this.#options.countEntries());
  }

  /**
   * Draws random candidates. All entries see the same reports of model ranks until the next ones
   * arrive; if each compared all ranks, all would overload the one that was reported least loaded.
   * Urgently slow ranks are left out while others have free slots.
   */
  #sampleCandidates(
    targets: readonly DirectTarget[],
    { service, gapMs, urgencyRank }: PickRequest,
  ): DirectTarget[] {
    if (service.engine === null) return [...targets];
    const nowMs = this.#options.clock.getNow();
    const fast = targets.filter(({ id }) => this.getStats(id).getPace(nowMs) < urgentPace);
    const pool = fast.length > 0 ? fast : targets;
    if (pool.length <= CANDIDATE_COUNT) return [...pool];
    const speeds = pool.map(({ id, address }) => ({
      passMs: this.#groups.getReport(address)?.passMs ?? null,
      pace: this.getStats(id).getPace(nowMs),
    }));
    const longestPassMs = gapMs === null ? null : computePassGapFraction(urgencyRank) * gapMs;
    const weights = computeDrawWeights(speeds, longestPassMs);
    return drawTargets(pool, weights, CANDIDATE_COUNT, this.#options.random);
  }

  #chooseLeastLoaded(targets: readonly DirectTarget[], service: DirectService): DirectTarget {
    let best = targets[0] as DirectTarget;
    let bestScore = Infinity;
    for (const target of targets) {
      const score = this.#score(target, service);
      if (score < bestScore) {
        best = target;
        bestScore = score;
      }
    }
    return best;
  }

  #score(target: DirectTarget, service: DirectService): number {
    const nowMs = this.#options.clock.getNow();
    const stats = this.getStats(target.id);
    const occupancy =
      service.engine === null
        ? stats.inFlight
        : stats.estimateOccupancy(nowMs, this.#options.countEntries());
    const failures = FAILURE_WEIGHT_REQUESTS * stats.getFailures(nowMs);
    // The random term spreads requests over equal targets when entries see the same loads.
    const load = occupancy + failures + this.#options.random.next();
    return load * stats.getPace(nowMs);
  }
}

/** Estimates how long a stream of usual length runs, milliseconds; 0 where it is not known. */
function estimateDurationMs({ usualAnswerTokens, stride }: EngineModel, passMs: number): number {
  return (usualAnswerTokens / stride) * passMs;
}
