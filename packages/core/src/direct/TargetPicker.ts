import type { Clock } from '../clock/Clock.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { ColdLimiter } from './ColdLimiter.js';
import type { DirectService } from './DirectService.js';
import type { DirectTarget } from './DirectTarget.js';
import type { PickResult } from './PickResult.js';
import type { GroupReport } from './GroupReport.js';
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
}

/** Weight of a recent failure in the score of a target, in requests in flight. */
const FAILURE_WEIGHT = 4;

/** A report of a group older than this says nothing any more, milliseconds. */
const REPORT_MAX_AGE_MS = 1500;

/** Part of the longest pause that a pass may take before new streams wait, so that it has room. */
const PASS_SHARE = 0.85;

/** Chooses the target of a request: the one with the least load that may get it. */
export class TargetPicker {
  readonly #parts: PickerParts;

  readonly #stats = new Map<string, TargetStats>();

  /** Last report of the group of each rank, by the address of the rank. */
  readonly #groups = new Map<string, { readonly report: GroupReport; readonly atMs: number }>();

  /** Zones from which operators have withdrawn new work. */
  #evacuated: ReadonlySet<string> = new Set();

  constructor(parts: PickerParts) {
    this.#parts = parts;
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
    const loads = new Map(report.ranks.map((load) => [load.address, load]));
    for (const address of loads.keys()) this.#groups.set(address, { report, atMs });
    for (const target of this.#parts.registry.listAll()) {
      const load = loads.get(target.address);
      if (load !== undefined) this.getStats(target.id).acceptLoad(load, atMs);
    }
  }

  pick(request: PickRequest): PickResult {
    const open = this.#listOpen(request);
    if (open.length === 0) return { target: null, reason: 'no_target' };
    const warm = open.filter(({ id }) => this.#bears(id, request.service));
    if (warm.length === 0) return { target: null, reason: 'target_cold' };
    const admitted = warm.filter((target) => this.#admits(target, request));
    if (admitted.length === 0) return { target: null, reason: 'overloaded' };
    const target = this.#chooseLeast(admitted, request.service);
    if (this.#parts.registry.isCold(target.id)) this.#parts.cold.take(target.id);
    return { target, reason: `least loaded of ${admitted.length}` };
  }

  #listOpen({ service, excluded }: PickRequest): DirectTarget[] {
    const nowMs = this.#parts.clock.getNow();
    const open: DirectTarget[] = [];
    for (const target of this.#parts.registry.listTargets(service.name)) {
      if (target.isDraining || this.#evacuated.has(target.zone)) continue;
      if (excluded.has(target.id)) continue;
      if (this.#isBroken(target, nowMs)) continue;
      open.push(target);
    }
    return open;
  }

  /** Tells whether the target's group has lost a rank. */
  #isBroken(target: DirectTarget, nowMs: number): boolean {
    return this.#getReport(target, nowMs)?.isOpen === false;
  }

  #getReport({ address }: DirectTarget, nowMs: number): GroupReport | null {
    const known = this.#groups.get(address);
    if (known === undefined || nowMs - known.atMs > REPORT_MAX_AGE_MS) return null;
    return known.report;
  }

  #bears(id: string, service: DirectService): boolean {
    if (!this.#parts.registry.isCold(id) || service.coldPerSecond <= 0) return true;
    return this.#parts.cold.hasRoom(id, service.coldPerSecond, this.#parts.countEntries());
  }

  #admits(target: DirectTarget, { service, gapMs }: PickRequest): boolean {
    if (service.engine === null) return true;
    const nowMs = this.#parts.clock.getNow();
    const passMs = this.#getReport(target, nowMs)?.passMs ?? 0;
    if (gapMs !== null && passMs > PASS_SHARE * gapMs) return false;
    const occupancy = this.getStats(target.id).estimateOccupancy(nowMs, this.#parts.countEntries());
    return occupancy < target.capacity;
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
