import type { Clock } from '../clock/Clock.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { ColdLimiter } from './ColdLimiter.js';
import type { DirectService } from './DirectService.js';
import type { DirectTarget } from './DirectTarget.js';
import type { PickResult } from './PickResult.js';
import type { GroupReport } from './GroupReport.js';
import { GroupStates } from './GroupStates.js';
import type { TargetRegistry } from './TargetRegistry.js';
import { TargetStats } from './TargetStats.js';

interface PickerParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly registry: TargetRegistry;
  readonly cold: ColdLimiter;
  /** Returns the number of entries that send to the same targets. */
  readonly countEntries: () => number;
}

interface PickRequest {
  readonly service: DirectService;
  /** Targets that failed this request already. */
  readonly excluded: ReadonlySet<string>;
  /** Longest pause of the stream that meets its objective; null for other requests. */
  readonly gapMs: number | null;
  /** Whether the request misses its objective in any case. */
  readonly isLate: boolean;
}

/** Weight of a recent failure in the score of a target, in requests in flight. */
const FAILURE_WEIGHT = 4;

/** Part of the longest pause that a pass may take before new streams wait, so that it has room. */
const PASS_SHARE = 0.85;

/**
 * Requests that a rank gets while its group has no map that fits the demand. They show the demand;
 * more would all be late, and their long passes would delay the map.
 */
const UNMAPPED_PLACES = 2;

/** Ranks that an entry compares for one request; two bound the longest queue almost as well as all. */
const CANDIDATES = 2;

/** Late requests leave the rest of the places to those that can still meet their objective. */
const LATE_SHARE = 0.5;

/** Chooses the target of a request: the one with the least load that may get it. */
export class TargetPicker {
  readonly #parts: PickerParts;

  readonly #stats = new Map<string, TargetStats>();

  readonly #groups: GroupStates;

  /** Zones from which operators have withdrawn new work. */
  #evacuated: ReadonlySet<string> = new Set();

  constructor(parts: PickerParts) {
    this.#parts = parts;
    this.#groups = new GroupStates(parts.clock);
  }

  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
  }

  getStats(id: string): TargetStats {
    let stats = this.#stats.get(id);
    if (stats === undefined) {
      stats = new TargetStats();
      this.#stats.set(id, stats);
    }
    return stats;
  }

  /** Takes in the loads of a group. */
  acceptReport(report: GroupReport): void {
    const atMs = this.#parts.clock.getNow();
    this.#groups.accept(report);
    const loads = new Map(report.ranks.map((load) => [load.address, load]));
    for (const target of this.#parts.registry.listAll()) {
      const load = loads.get(target.address);
      if (load !== undefined) this.getStats(target.id).acceptLoad(load, atMs);
    }
  }

  /** Tells whether nothing is known of the target's group, or only something too old. */
  isUnheard(target: DirectTarget): boolean {
    return this.#groups.getReport(target.address) === null;
  }

  pick(request: PickRequest): PickResult {
    const usable = this.#listUsable(request);
    const hasGroups = (request.service.engine?.experts ?? null) !== null;
    const open = usable.filter(({ address }) => this.#groups.isOpen(address, hasGroups));
    if (open.length === 0) {
      const isForming = usable.some(({ address }) => this.#groups.isForming(address));
      return { target: null, reason: isForming ? 'not_formed' : 'no_target' };
    }
    const warm = open.filter(({ id }) => this.#bears(id, request.service));
    if (warm.length === 0) return { target: null, reason: 'target_cold' };
    const isShareUsed = this.#isUnmappedShareUsed(open);
    const admitted = warm.filter(
      (target) =>
        !(isShareUsed && this.#groups.isUnmapped(target.address)) && this.#admits(target, request),
    );
    if (admitted.length === 0) {
      const isForming = isShareUsed && warm.some(({ address }) => this.#groups.isUnmapped(address));
      return { target: null, reason: isForming ? 'not_formed' : 'overloaded' };
    }
    const target = this.#chooseLeast(this.#drawCandidates(admitted, request), request.service);
    if (this.#parts.registry.isCold(target.id)) this.#parts.cold.take(target.id);
    return { target, reason: `least loaded of ${admitted.length}` };
  }

  #listUsable({ service, excluded }: PickRequest): DirectTarget[] {
    const usable: DirectTarget[] = [];
    for (const target of this.#parts.registry.listTargets(service.name)) {
      if (target.isDraining || this.#evacuated.has(target.zone)) continue;
      if (!excluded.has(target.id)) usable.push(target);
    }
    return usable;
  }

  #bears(id: string, service: DirectService): boolean {
    if (!this.#parts.registry.isCold(id) || service.coldPerSecond <= 0) return true;
    return this.#parts.cold.hasRoom(id, service.coldPerSecond, this.#parts.countEntries());
  }

  #admits(target: DirectTarget, { service, gapMs, isLate }: PickRequest): boolean {
    if (service.engine === null) return true;
    const nowMs = this.#parts.clock.getNow();
    const passMs = this.#groups.getReport(target.address)?.passMs ?? 0;
    if (gapMs !== null && passMs > PASS_SHARE * gapMs) return false;
    const occupancy = this.getStats(target.id).estimateOccupancy(nowMs, this.#parts.countEntries());
    return occupancy < (isLate ? LATE_SHARE * target.capacity : target.capacity);
  }

  /** All entries find a new group empty at the same moment, so each has a part of its places. */
  #isUnmappedShareUsed(targets: readonly DirectTarget[]): boolean {
    let places = 0;
    let inFlight = 0;
    for (const { id, address } of targets) {
      if (!this.#groups.isUnmapped(address)) continue;
      places += UNMAPPED_PLACES;
      inFlight += this.getStats(id).inFlight;
    }
    return inFlight >= Math.max(1, places / this.#parts.countEntries());
  }

  /**
   * All entries see the same reports of model ranks for a while, and would all choose the rank that
   * was least loaded in them. Two candidates each keep that rank from being flooded.
   */
  #drawCandidates(targets: readonly DirectTarget[], { service }: PickRequest): DirectTarget[] {
    if (service.engine === null || targets.length <= CANDIDATES) return [...targets];
    const left = [...targets];
    const drawn: DirectTarget[] = [];
    while (drawn.length < CANDIDATES) {
      const at = Math.floor(this.#parts.random.next() * left.length);
      drawn.push(...left.splice(at, 1));
    }
    return drawn;
  }

  #chooseLeast(targets: readonly DirectTarget[], service: DirectService): DirectTarget {
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
    const nowMs = this.#parts.clock.getNow();
    const stats = this.getStats(target.id);
    const occupancy =
      service.engine === null
        ? stats.inFlight
        : stats.estimateOccupancy(nowMs, this.#parts.countEntries());
    const failures = FAILURE_WEIGHT * stats.getFailures(nowMs);
    // The random part spreads entries that see the same loads over equal targets.
    return occupancy + failures + this.#parts.random.next();
  }
}
