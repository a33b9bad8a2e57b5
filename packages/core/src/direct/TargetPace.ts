import type { Clock } from '../clock/Clock.js';
import type { RandomSource } from '../random/RandomSource.js';
import { buildRunName } from './buildRunName.js';
import type { DirectRoute } from './DirectRoute.js';
import type { DirectService } from './DirectService.js';
import type { DirectTarget } from './DirectTarget.js';
import type { GroupReport } from './GroupReport.js';
import type { PaceChange } from './PaceChange.js';
import { PaceLevel } from './PaceLevel.js';
import type { PaceOutcome } from './PaceOutcome.js';
import { PaceUnits } from './PaceUnits.js';
import { ResponseTimes } from './ResponseTimes.js';
import type { TargetRegistry } from './TargetRegistry.js';

interface TargetPaceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly registry: Pick<
    TargetRegistry,
    'listTargets' | 'listAll' | 'isCold' | 'getRevision' | 'count'
  >;
  /** Returns whether targets are paced at all. */
  readonly isEnabled: () => boolean;
  /** Returns whether the registered targets have been read; those found then are not fresh. */
  readonly hasTargets: () => boolean;
  /** Returns the number of entries that send to the same targets. */
  readonly countEntries: () => number;
  readonly onChange: (change: PaceChange) => void;
}

interface PaceAnswer {
  readonly target: DirectTarget;
  readonly route: Pick<DirectRoute, 'name' | 'objectiveMs'>;
  /** Time to the first event or the complete body; until the attempt ended if there was none. */
  readonly durationMs: number;
  readonly outcome: PaceOutcome;
}

interface Pace {
  readonly service: string;
  readonly level: PaceLevel;
  /** Requests that the unit may get now. */
  credit: number;
}

interface KnownTarget {
  readonly bornMs: number;
  /** A higher value of the same run means that the target has turned cold again. */
  readonly coldLeftMs: number;
}

interface UnitLoad {
  readonly capacity: number;
  readonly inFlight: number;
}

/** Level of a unit that has just started or come back. */
const START_LEVEL = 1 / 4;

/** Level of a unit at full pace after a series of failures or slow answers. */
const STRAINED_LEVEL = 1 / 2;

/** Failures and slow answers in succession after which a unit at full pace is paced. */
const STRAIN_SERIES = 2;

/** Limits the burst to a unit that was not chosen for a time. */
const MAX_CREDIT = 2;

/**
 * Paces the requests to targets that have just started or recovered: each gets a part of its share
 * of the requests that this entry sends, and the part grows with answers in time. Parts of what each
 * entry sends add up to the same part of what all send, so entries need not agree on them.
 */
export class TargetPace {
  readonly #options: TargetPaceOptions;

  readonly #units = new PaceUnits();

  readonly #times = new ResponseTimes();

  /** Units below full pace, by name. */
  readonly #paces = new Map<string, Pace>();

  /** Failures and slow answers in succession of units at full pace, by name of the unit. */
  readonly #strains = new Map<string, number>();

  /** Registered targets, by id; null before they were first read. */
  #known: Map<string, KnownTarget> | null = null;

  /** Revision of the registry at which starts were last looked for. */
  #seenRevision = -1;

  /** Zones from which operators have withdrawn new work; the caller changes the set. */
  #evacuated: ReadonlySet<string> = new Set();

  #evacuatedBefore: ReadonlySet<string> = new Set();

  constructor(options: TargetPaceOptions) {
    this.#options = options;
  }

  /** Sets the zones without new work; the set may change later. */
  setEvacuated(zones: ReadonlySet<string>): void {
    this.#evacuated = zones;
  }

  /** Begins a ramp for a group that has formed anew. */
  handleReport(report: GroupReport): void {
    if (!this.#options.isEnabled()) return;
    const hasFormed = this.#units.handleReport(report);
    if (!hasFormed && this.#paces.size === 0) return;
    const addresses = new Set(report.ranks.map(({ address }) => address));
    let service: string | null = null;
    let hasStarted = false;
    for (const target of this.#options.registry.listAll()) {
      if (!addresses.has(target.address)) continue;
      service = target.service;
      // Ranks that registered before their group was known had paces of their own.
      if (this.#paces.delete(buildRunName(target))) hasStarted = true;
    }
    if (service === null || (!hasFormed && !hasStarted)) return;
    this.#begin(this.#units.getGroupName(report), service, 'the group has formed');
  }

  /**
   * Chooses the targets that may get a request: those that are due for one by their pace, or else
   * those at full pace, or else those that are least utilised for their level. A due target is not
   * compared with others, because few requests in flight or past failures would then decide instead
   * of its pace. The result is empty only if `targets` is.
   *
   * @param targets of the service that may get the request for every other reason
   * @param countInFlight returns the requests of this entry in flight at a target
   */
  filterTargets(
    targets: readonly DirectTarget[],
    service: DirectService,
    countInFlight: (id: string) => number,
  ): readonly DirectTarget[] {
    if (!this.#isReady()) return targets;
    this.#detectStarts();
    this.#detectReturns();
    if (!this.#isPacing(service.name)) return targets;
    const loads = this.#computeLoads(service.name, countInFlight);
    const due: DirectTarget[] = [];
    const full: DirectTarget[] = [];
    let least: DirectTarget[] = [];
    let leastUtilization = Infinity;
    for (const target of targets) {
      const name = this.#units.getName(target);
      const pace = this.#paces.get(name);
      const load = loads.get(name);
      if (pace === undefined || load === undefined || this.#isBoundByColdRate(target, service)) {
        full.push(target);
        continue;
      }
      if (this.#hasCapacity(pace, load)) due.push(target);
      const utilization = load.inFlight / (pace.level.get() * load.capacity);
      if (utilization > leastUtilization) continue;
      if (utilization < leastUtilization) least = [];
      leastUtilization = utilization;
      least.push(target);
    }
    if (due.length > 0) return due;
    return full.length > 0 ? full : least;
  }

  /** Records that this entry sends a request to a target. */
  recordSent(target: DirectTarget): void {
    if (!this.#isPacing(target.service)) return;
    const units = this.#units.listUnits(this.#listActive(target.service));
    let totalWeight = 0;
    for (const [name, { capacity }] of units) totalWeight += this.#getWeight(name, capacity);
    for (const [name, { capacity }] of units) {
      const pace = this.#paces.get(name);
      if (pace === undefined) continue;
      const share = this.#getWeight(name, capacity) / totalWeight;
      pace.credit = Math.min(MAX_CREDIT, pace.credit + share);
    }
    const pace = this.#paces.get(this.#units.getName(target));
    if (pace !== undefined) pace.credit = Math.max(0, pace.credit - 1);
  }

  /** Records what an attempt has shown of its target. */
  recordAnswered({ target, route, durationMs, outcome }: PaceAnswer): void {
    if (!this.#isReady()) return;
    const verdict = this.#times.evaluate(target.service, route, durationMs);
    const name = this.#units.getName(target);
    if (outcome === 'failed') this.#recordStrain(target, name, durationMs, 'failures');
    else if (verdict === 'slow') {
      if (outcome !== 'answered') this.#recordStrain(target, name, durationMs, 'slow answers');
    } else if (outcome === 'answered') this.#strains.delete(name);
    if (outcome !== 'begun') return;
    const pace = this.#paces.get(name);
    if (pace === undefined || !this.#hasFullPace(target.service)) {
      this.#times.record(target.service, route, durationMs);
    }
    if (pace === undefined) return;
    const nowMs = this.#options.clock.getNow();
    if (verdict === 'uncertain') pace.level.recordUncertain(nowMs);
    if (verdict !== 'in_time') return;
    pace.level.recordInTime(nowMs - durationMs, nowMs, this.#getMaxLevel([target]));
    this.#endIfFull(name, 'answers in time');
  }

  /** Raises levels without evidence and drops the state of targets that are gone. */
  expire(): void {
    if (!this.#isReady()) {
      if (!this.#options.isEnabled()) this.#clear();
      return;
    }
    const { registry } = this.#options;
    this.#detectStarts();
    this.#detectReturns();
    // Reports may name ranks that are not registered.
    if (this.#units.countRanks() > registry.count()) this.#units.expire(registry.listAll());
    if (this.#paces.size === 0) return;
    const units = this.#units.listUnits(registry.listAll());
    const nowMs = this.#options.clock.getNow();
    for (const [name, { level }] of this.#paces) {
      level.expire(nowMs, this.#getMaxLevel(units.get(name)?.targets ?? []));
      this.#endIfFull(name, 'no evidence against it');
    }
  }

  /** Returns the part of its full share that a target gets, 0 to 1. */
  getLevel(target: DirectTarget): number {
    return this.#paces.get(this.#units.getName(target))?.level.get() ?? 1;
  }

  /** Counts the targets below full pace. */
  countPaced(): number {
    if (this.#paces.size === 0) return 0;
    let count = 0;
    for (const target of this.#options.registry.listAll()) {
      if (this.#paces.has(this.#units.getName(target))) count += 1;
    }
    return count;
  }

  #isReady(): boolean {
    if (!this.#options.isEnabled()) return false;
    if (this.#known !== null) return true;
    if (!this.#options.hasTargets()) return false;
    this.#known = new Map();
    this.#evacuatedBefore = new Set(this.#evacuated);
    for (const target of this.#options.registry.listAll()) {
      const { id, bornMs, coldLeftMs } = target;
      this.#known.set(id, { bornMs, coldLeftMs });
      if (this.#options.registry.isCold(id)) {
        this.#begin(this.#units.getName(target), target.service, 'the target is cold');
      }
    }
    return true;
  }

  #clear(): void {
    this.#known = null;
    this.#seenRevision = -1;
    this.#paces.clear();
    this.#strains.clear();
    this.#units.clear();
    this.#times.clear();
  }

  #isPacing(service: string): boolean {
    for (const pace of this.#paces.values()) if (pace.service === service) return true;
    return false;
  }

  /** Returns whether a target of a service is at full pace. */
  #hasFullPace(service: string): boolean {
    for (const target of this.#listActive(service)) {
      if (!this.#paces.has(this.#units.getName(target))) return true;
    }
    return false;
  }

  /**
   * Begins ramps for targets that have registered, or turned cold, since the last change of the
   * registry, and drops the state of targets that are gone.
   */
  #detectStarts(): void {
    const { registry } = this.#options;
    const revision = registry.getRevision();
    if (revision === this.#seenRevision) return;
    this.#seenRevision = revision;
    const targets = registry.listAll();
    this.#units.expire(targets);
    for (const target of targets) {
      const { id, bornMs, coldLeftMs } = target;
      const known = this.#known?.get(id);
      const isNew = known?.bornMs !== bornMs;
      const isCold = registry.isCold(id);
      const hasTurnedCold = isCold && coldLeftMs > (known?.coldLeftMs ?? 0);
      this.#known?.set(id, { bornMs, coldLeftMs });
      // The group of a rank that starts forms anew, which its reports show.
      if (this.#units.isInGroup(target) || (!isNew && !hasTurnedCold)) continue;
      const cause = isCold ? 'the target is cold' : 'the target has started';
      this.#begin(this.#units.getName(target), target.service, cause);
    }
    this.#dropGone(targets);
  }

  /** Begins ramps for units all of whose targets are in zones that were put back into service. */
  #detectReturns(): void {
    const before = this.#evacuatedBefore;
    const returned = new Set([...before].filter((zone) => !this.#evacuated.has(zone)));
    if (returned.size === 0 && before.size === this.#evacuated.size) return;
    this.#evacuatedBefore = new Set(this.#evacuated);
    if (returned.size === 0) return;
    for (const [name, { targets }] of this.#units.listUnits(this.#options.registry.listAll())) {
      const [target] = targets;
      if (target === undefined || !targets.every(({ zone }) => returned.has(zone))) continue;
      this.#begin(name, target.service, 'its zone is in service again');
    }
  }

  #dropGone(targets: readonly DirectTarget[]): void {
    const units = this.#units.listUnits(targets);
    const ids = new Set(targets.map(({ id }) => id));
    for (const id of this.#known?.keys() ?? []) if (!ids.has(id)) this.#known?.delete(id);
    for (const name of this.#paces.keys()) if (!units.has(name)) this.#paces.delete(name);
    for (const name of this.#strains.keys()) if (!units.has(name)) this.#strains.delete(name);
  }

  #begin(unit: string, service: string, cause: string, level = START_LEVEL): void {
    const { clock, random, onChange } = this.#options;
    const isStrained = level !== START_LEVEL;
    this.#strains.delete(unit);
    const known = this.#paces.get(unit);
    if (known !== undefined && !known.level.hasChanged()) return;
    this.#paces.set(unit, {
      service,
      level: new PaceLevel(level, clock.getNow(), isStrained),
      // The random part keeps the entries from sending their first requests together.
      credit: random.next(),
    });
    onChange({ kind: 'begin', unit, service, level, cause });
  }

  #recordStrain(target: DirectTarget, unit: string, durationMs: number, cause: string): void {
    // The answer may be that of an earlier run, whose state is not kept.
    if (this.#known?.get(target.id)?.bornMs !== target.bornMs) return;
    const nowMs = this.#options.clock.getNow();
    const pace = this.#paces.get(unit);
    if (pace !== undefined) {
      if (!pace.level.recordStrain(nowMs - durationMs, nowMs)) return;
      const level = pace.level.get();
      this.#options.onChange({ kind: 'halve', unit, service: pace.service, level, cause });
      return;
    }
    const count = (this.#strains.get(unit) ?? 0) + 1;
    if (count < STRAIN_SERIES) this.#strains.set(unit, count);
    else this.#begin(unit, target.service, `a series of ${cause}`, STRAINED_LEVEL);
  }

  #endIfFull(unit: string, cause: string): void {
    const pace = this.#paces.get(unit);
    if (pace === undefined || !pace.level.isFull()) return;
    this.#paces.delete(unit);
    this.#options.onChange({ kind: 'end', unit, service: pace.service, level: 1, cause });
  }

  /** Returns whether the cold rate of a target already bounds it; the pace lowers it after strain. */
  #isBoundByColdRate(target: DirectTarget, { coldPerSecond }: DirectService): boolean {
    if (coldPerSecond <= 0 || this.getLevel(target) < START_LEVEL) return false;
    return this.#options.registry.isCold(target.id);
  }

  #hasCapacity({ level, credit }: Pace, { capacity, inFlight }: UnitLoad): boolean {
    const slots = (level.get() * capacity) / this.#options.countEntries();
    return credit >= 1 && inFlight < Math.max(1, slots);
  }

  #computeLoads(service: string, countInFlight: (id: string) => number): Map<string, UnitLoad> {
    const loads = new Map<string, UnitLoad>();
    for (const [name, { targets, capacity }] of this.#units.listUnits(this.#listActive(service))) {
      if (!this.#paces.has(name)) continue;
      let inFlight = 0;
      for (const { id } of targets) inFlight += countInFlight(id);
      loads.set(name, { capacity, inFlight });
    }
    return loads;
  }

  /** A cold target gets no more than its first level, so that its ramp follows the cold time. */
  #getMaxLevel(targets: readonly DirectTarget[]): number {
    for (const { id } of targets) if (this.#options.registry.isCold(id)) return START_LEVEL;
    return 1;
  }

  #getWeight(unit: string, capacity: number): number {
    return (this.#paces.get(unit)?.level.get() ?? 1) * capacity;
  }

  /** Lists the targets of a service that get new work. */
  #listActive(service: string): DirectTarget[] {
    const active: DirectTarget[] = [];
    for (const target of this.#options.registry.listTargets(service)) {
      if (!target.isDraining && !this.#evacuated.has(target.zone)) active.push(target);
    }
    return active;
  }
}
