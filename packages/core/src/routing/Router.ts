import type { Result } from 'ts-results';
import type { LoadReport } from '../admission/LoadReport.js';
import type { Priority } from '../admission/Priority.js';
import type { Clock } from '../clock/Clock.js';
import type { ErrorKind } from '../errors/ErrorKind.js';
import type { Failure } from '../errors/Failure.js';
import type { InstanceId } from '../ids/InstanceId.js';
import type { ServiceName } from '../ids/ServiceName.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { CacheEvent } from './CacheEvent.js';
import type { RequestCost } from './RequestCost.js';
import type { RouteDecision } from './RouteDecision.js';
import type { RouteMember } from './RouteMember.js';
import type { RouteRequest } from './RouteRequest.js';
import type { RouteTarget } from './RouteTarget.js';
import type { ServiceStatus } from './ServiceStatus.js';
import { answerTable } from '../errors/answerTable.js';
import { fail } from '../errors/fail.js';
import { Ok } from '../errors/results.js';
import { chooseSubset } from './chooseSubset.js';
import { PrefixIndex } from './PrefixIndex.js';
import { RouterSettings } from './RouterSettings.js';
import { scoreTarget } from './scoreTarget.js';
import { ServiceTable } from './ServiceTable.js';
import { TargetView } from './TargetView.js';
import { ZoneHealth } from './ZoneHealth.js';

interface Candidate {
  readonly member: RouteMember;
  readonly scoreMs: number;
  readonly savedShare: number;
}

/**
 * Candidates drawn by weight for each pick. With 2 the mean step time of the routing bench is 4%
 * higher; 8 bring no further gain.
 */
const DRAWN = 4;

/** Draws before a pick goes on with fewer candidates. */
const MOST_DRAWS = 8;

/** Holders of a cached prefix that a pick looks at. */
const MOST_HOLDERS = 2;

/** Time until a target that refused by state is asked again after the asking request was sent. */
const ASK_AGAIN_MS = 3000;

/** Prefix hashes remembered over all targets; about 40 MB of the 256 MB that a node may use. */
const MOST_HINTS = 200_000;

const NO_TARGET_RETRY_MS = 1000;

/**
 * Part of the reported queue delay that a request of each priority has to expect. Agents order
 * their queues by priority, so high priority passes most of it.
 */
const WAIT_SHARE: Readonly<Record<Priority, number>> = { high: 0.25, normal: 1, low: 1.5 };

/** Failures that say nothing about the target: the caller or its deadline ended the attempt. */
const NEUTRAL: ReadonlySet<ErrorKind> = new Set(['cancelled', 'timed_out', 'key_in_progress']);

/**
 * Chooses the target of each attempt at one entry. Holds no timers: all decay is computed from the
 * clock at the time of use. The caller reports each attempt by `recordSend` and exactly one
 * `recordFinish`.
 */
export class Router {
  readonly #entry: InstanceId;

  readonly #zone: Zone | null;

  readonly #clock: Clock;

  readonly #random: RandomSource;

  readonly #settings: RouterSettings;

  readonly #tables = new Map<ServiceName, ServiceTable>();

  readonly #views = new Map<TargetId, TargetView>();

  readonly #zones = new Map<Zone, ZoneHealth>();

  readonly #prefixes = new PrefixIndex();

  #entries: readonly InstanceId[] = [];

  /** Silence counts only once the daemon reports frames; otherwise every long answer is silent. */
  #watchSilence = false;

  #zonesCheckedMs = -Infinity;

  /**
   * @param options.entry id of this entry, by which its subset of the targets is chosen
   * @param options.zone zone of this entry; null where there is none to prefer
   */
  constructor(options: {
    readonly entry: InstanceId;
    readonly zone: Zone | null;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly settings?: Partial<RouterSettings>;
  }) {
    this.#entry = options.entry;
    this.#zone = options.zone;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#settings = RouterSettings.parse(options.settings ?? {});
  }

  /** Sets the live entries, including this one, so that the subsets of all entries fit together. */
  setEntries(entries: readonly InstanceId[]): void {
    this.#entries = [...entries];
    for (const table of this.#tables.values()) {
      this.#rebuild(table, new Map(table.targets.map((target) => [target.id, target])));
    }
  }

  /** Sets all targets of a service. An empty list removes the service. */
  updateTargets(service: ServiceName, targets: readonly RouteTarget[]): void {
    const table = this.#tables.get(service) ?? new ServiceTable(service);
    if (targets.length === 0) this.#tables.delete(service);
    else this.#tables.set(service, table);
    const before = new Map(table.targets.map((target) => [target.id, target]));
    table.targets = [...targets];
    this.#rebuild(table, before);
    for (const target of targets) {
      const wasLeaving = before.get(target.id)?.state === 'leaving';
      if (wasLeaving && target.state === 'live') this.#views.get(target.id)?.releaseHold();
    }
    this.#removeUnused();
  }

  /**
   * Sets which zones the document of a service takes in and out. The load of targets in a zone
   * that returns is forgotten, because they come back cold.
   */
  setZones(service: ServiceName, zonesIn: readonly Zone[], zonesOut: readonly Zone[]): void {
    const table = this.#tables.get(service) ?? new ServiceTable(service);
    this.#tables.set(service, table);
    const wereOut = table.members.filter(({ target }) => !table.isZoneIn(target.zone));
    table.setZones(zonesIn, zonesOut);
    for (const { target, view } of wereOut) {
      if (table.isZoneIn(target.zone)) view.markCold(this.#clock.getNow());
    }
  }

  /** Takes a load report from any frame. Reports of an older incarnation are dropped. */
  acceptLoad(report: LoadReport): void {
    const view = this.#views.get(report.target);
    if (view === undefined) return;
    const nowMs = this.#clock.getNow();
    const previous = view.report;
    if (!view.acceptReport(report, nowMs)) return;
    if (previous !== null && previous.incarnation !== report.incarnation) {
      this.#prefixes.clear(view);
      view.hints.resetSequence();
      view.breaker.allowProbe(nowMs);
    }
    const grew = previous === null || previous.limit !== report.limit;
    if (grew || previous.state !== report.state) this.#markStale(view.id);
  }

  /** Takes a cache event; a gap in the sequence clears what was believed before it. */
  acceptCacheEvent(event: CacheEvent): void {
    const view = this.#views.get(event.target);
    if (view === undefined || event.incarnation !== view.getIncarnation()) return;
    const order = view.hints.acceptSequence(event.sequence);
    if (order === 'old') return;
    if (order === 'gap') this.#prefixes.clear(view);
    for (const hash of event.removed) this.#prefixes.remove(view, hash);
    for (const hash of event.added) this.#prefixes.add(view, hash);
  }

  /** Notes a sign of life from a target. To be called for every frame, `Progress` included. */
  recordFrame(target: TargetId): void {
    this.#watchSilence = true;
    this.#views.get(target)?.recordFrame(this.#clock.getNow());
  }

  /** Notes that an attempt was sent. */
  recordSend(decision: RouteDecision, cost: RequestCost): void {
    const view = this.#views.get(decision.target);
    if (view === undefined) return;
    const nowMs = this.#clock.getNow();
    view.recordSend(cost, nowMs);
    for (const hash of cost.prefixHashes ?? []) this.#prefixes.add(view, hash);
    if (!decision.probe) return;
    if (view.breaker.isOpen()) view.breaker.startProbe(nowMs);
    const { breaker } = this.#getZone(view.zone);
    if (breaker.isOpen()) breaker.startProbe(nowMs);
    this.#markStale(view.id);
  }

  /**
   * Notes the end of an attempt; to be called exactly once for each `recordSend`.
   *
   * @param outcome `complete` for a complete answer, else the error kind of the attempt
   * @param reached false where the attempt never left the entry, for want of a connection
   */
  recordFinish(decision: RouteDecision, outcome: 'complete' | ErrorKind, reached = true): void {
    const view = this.#views.get(decision.target);
    if (view === undefined) return;
    view.recordFinish();
    const nowMs = this.#clock.getNow();
    if (!reached) {
      this.recordFailure(decision.target, outcome === 'complete' ? 'internal' : outcome);
      return;
    }
    // The agent answers, but its target takes no connections.
    const isDown = outcome === 'target_cold';
    const isRefusal = outcome !== 'complete' && !isDown && answerTable[outcome].run === 'no';
    if (isRefusal && view.lastFailure === 'target_error') {
      // The agent answered, so the path works; whether the target does remains open.
      view.breaker.retryProbe(nowMs);
      this.#recordZoneSuccess(view, nowMs);
    } else if (isRefusal || outcome === 'complete') {
      const wasOpen = view.breaker.isOpen();
      view.breaker.recordSuccess(nowMs);
      this.#recordZoneSuccess(view, nowMs);
      if (wasOpen) this.#markStale(view.id);
    } else if (NEUTRAL.has(outcome)) {
      view.breaker.retryProbe(nowMs);
    } else {
      this.recordFailure(decision.target, outcome);
    }
  }

  /**
   * Starts the probes that are due and lists their targets. The entry asks their agents for a load
   * report and passes the result to `recordProbe`. Without this, a service whose requests may not
   * be repeated would never leave an open breaker, because its requests are not used as probes.
   */
  startProbes(): TargetId[] {
    const nowMs = this.#clock.getNow();
    const started: TargetId[] = [];
    for (const table of this.#tables.values()) {
      for (const member of table.members) {
        if (!this.#isProbeDue(table, member, true, nowMs)) continue;
        const { target, view } = member;
        const zone = this.#getZone(view.zone).breaker;
        if (view.breaker.isOpen()) view.breaker.startProbe(nowMs);
        if (zone.isOpen()) zone.startProbe(nowMs);
        started.push(target.id);
      }
    }
    return started;
  }

  /** Notes that the agent of a target has started at another address: what was known is old. */
  recordRestart(target: TargetId): void {
    const view = this.#views.get(target);
    if (view === undefined) return;
    view.markCold(this.#clock.getNow());
    view.breaker.allowProbe(this.#clock.getNow());
    this.#markStale(target);
  }

  /** Notes whether the agent of a target answered a probe. */
  recordProbe(target: TargetId, answered: boolean): void {
    const view = this.#views.get(target);
    if (view === undefined) return;
    if (!answered) {
      this.recordFailure(target, 'not_ready');
      return;
    }
    const nowMs = this.#clock.getNow();
    view.breaker.recordSuccess(nowMs);
    this.#recordZoneSuccess(view, nowMs);
    this.#markStale(target);
  }

  /**
   * Notes a failure of a target or its path outside of an attempt, for example a refused
   * connection. Failed attempts are reported by `recordFinish` alone.
   */
  recordFailure(target: TargetId, kind: ErrorKind): void {
    const view = this.#views.get(target);
    if (view === undefined || NEUTRAL.has(kind)) return;
    const nowMs = this.#clock.getNow();
    view.lastFailure = kind;
    view.breaker.recordFailure(nowMs);
    const zone = this.#getZone(view.zone);
    zone.recordFailure(view, nowMs);
    if (zone.breaker.isProbing()) zone.breaker.recordFailure(nowMs);
    if (view.breaker.isOpen()) {
      this.#zonesCheckedMs = -Infinity;
      this.#markStale(view.id);
    }
  }

  /**
   * Chooses the target of one attempt.
   *
   * @returns the decision, or `unknown_service`, `deadline_exceeded` (no target can finish in time),
   *   `overloaded` (every target's queue is longer than the time left) or `no_target`. Where an
   *   earlier attempt may have run, `chooseFailureKind` decides what the caller is told.
   */
  pick(request: RouteRequest): Result<RouteDecision, Failure> {
    const table = this.#tables.get(request.service);
    if (table === undefined || table.targets.length === 0) {
      return fail('unknown_service', `no targets are known for service ${request.service}`);
    }
    if (request.deadlineMs <= 0) return fail('deadline_exceeded', 'no time is left');
    const nowMs = this.#clock.getNow();
    if (table.stale || nowMs - table.refreshedMs >= this.#settings.refreshMs) {
      this.#refresh(table, nowMs);
    }
    const probe = this.#findProbe(table, request, nowMs);
    if (probe !== null) {
      return Ok(this.#decide(request, [this.#score(probe, request, nowMs)], 'probe', true));
    }
    const candidates = this.#collectCandidates(table, request, nowMs);
    if (candidates.length === 0) return this.#pickOutside(table, request, nowMs);
    const late = this.#refuseEarly(table, request, candidates);
    if (late !== null) return late;
    return Ok(this.#choose(request, candidates));
  }

  /** Describes each service as it is now, for log lines and metrics. Not for use in each pick. */
  getStatus(): ServiceStatus[] {
    const nowMs = this.#clock.getNow();
    const statuses: ServiceStatus[] = [];
    for (const table of this.#tables.values()) {
      this.#refresh(table, nowMs);
      const openTargets: TargetId[] = [];
      const openZones = new Set<Zone>();
      for (const { target, view } of table.members) {
        if (view.breaker.isOpen()) openTargets.push(target.id);
        if (this.#getZone(target.zone).breaker.isOpen()) openZones.add(target.zone);
      }
      statuses.push({
        service: table.service,
        targets: table.targets.length,
        subset: table.members.length,
        usable: table.usable.length,
        openTargets,
        openZones: [...openZones],
      });
    }
    return statuses;
  }

  /** @param before targets of the service until now */
  #rebuild(table: ServiceTable, before: ReadonlyMap<TargetId, RouteTarget>): void {
    const subset = chooseSubset(this.#entry, this.#entries, table.targets, this.#settings);
    // Targets that are listed beside known ones have just started. At the entry's own start none is
    // known, and to take all of them for cold would overload the first that answers.
    const hasReports = table.members.some(({ view }) => view.report !== null);
    table.setMembers(subset, (target) =>
      this.#getView(target, hasReports && !before.has(target.id)),
    );
    const share = Math.ceil(MOST_HINTS / Math.max(1, this.#views.size));
    const limit = Math.min(this.#settings.hintsPerTarget, share);
    for (const view of this.#views.values()) view.hints.setLimit(limit);
  }

  #getView(target: RouteTarget, isCold: boolean): TargetView {
    const known = this.#views.get(target.id);
    if (known !== undefined) {
      known.zone = target.zone;
      return known;
    }
    const view = new TargetView(target.id, target.zone, this.#settings, this.#random);
    if (isCold) view.markCold(this.#clock.getNow());
    this.#views.set(target.id, view);
    return view;
  }

  #getZone(zone: Zone): ZoneHealth {
    const known = this.#zones.get(zone);
    if (known !== undefined) return known;
    const health = new ZoneHealth(this.#settings, this.#random);
    this.#zones.set(zone, health);
    return health;
  }

  #removeUnused(): void {
    const used = new Set<TargetId>();
    for (const table of this.#tables.values()) {
      for (const target of table.targets) used.add(target.id);
    }
    for (const [id, view] of this.#views) {
      if (used.has(id)) continue;
      this.#prefixes.clear(view);
      this.#views.delete(id);
    }
  }

  #markStale(target: TargetId): void {
    for (const table of this.#tables.values()) {
      if (table.getMember(target) !== undefined) table.stale = true;
    }
  }

  #recordZoneSuccess(view: TargetView, nowMs: number): void {
    const zone = this.#getZone(view.zone);
    const wasOpen = zone.breaker.isOpen();
    zone.recordSuccess(view, nowMs);
    if (!wasOpen) return;
    // The other targets of the zone may have restarted with it; a warm one says so in its report.
    for (const other of this.#views.values()) {
      if (other.zone !== view.zone || other === view) continue;
      if (other.breaker.isOpen()) other.breaker.allowProbe(nowMs);
      other.markCold(nowMs);
    }
    for (const table of this.#tables.values()) table.stale = true;
  }

  #refresh(table: ServiceTable, nowMs: number): void {
    if (nowMs - this.#zonesCheckedMs >= this.#settings.refreshMs) this.#checkZones(nowMs);
    table.refresh(nowMs, (member) => this.#weigh(table, member, nowMs));
  }

  /** Opens the breakers of zones where most active targets fail together. */
  #checkZones(nowMs: number): void {
    this.#zonesCheckedMs = nowMs;
    const byZone = new Map<Zone, TargetView[]>();
    for (const view of this.#views.values()) {
      const views = byZone.get(view.zone) ?? [];
      views.push(view);
      byZone.set(view.zone, views);
    }
    const failed: ZoneHealth[] = [];
    let working = 0;
    for (const [zone, views] of byZone) {
      const health = this.#getZone(zone);
      const counts = health.measure(views, nowMs, this.#watchSilence);
      if (ZoneHealth.isFailed(counts)) failed.push(health);
      else if (counts.active > 0) working += 1;
    }
    // Where no zone works, the fault is more likely on this entry's side.
    if (working === 0) return;
    for (const { breaker } of failed) breaker.open(nowMs);
  }

  /** Whether the instance list, the document and the target itself let it take new work. */
  #isOffered(table: ServiceTable, { target, view }: RouteMember, nowMs: number): boolean {
    if (target.state !== 'live' || !table.isZoneIn(target.zone) || view.isHeld(nowMs)) return false;
    return view.report === null || view.report.state === 'serving';
  }

  #weigh(table: ServiceTable, member: RouteMember, nowMs: number): number {
    const { view } = member;
    if (!this.#isOffered(table, member, nowMs)) return 0;
    if (this.#watchSilence && view.isSuspect(nowMs)) return 0;
    const zoneWeight = this.#getZone(view.zone).breaker.getWeight(nowMs);
    return view.estimateLimit(nowMs, member.load) * view.breaker.getWeight(nowMs) * zoneWeight;
  }

  /** Finds a failed target or zone whose next probe is due. */
  #findProbe(table: ServiceTable, request: RouteRequest, nowMs: number): RouteMember | null {
    if (request.tried.size > 0) return null;
    if (nowMs - table.probedMs < this.#settings.probeSpacingMs) return null;
    if (table.usable.length === table.members.length) return null;
    table.recordProbe(nowMs);
    const { members } = table;
    const first = Math.floor(this.#random.next() * members.length);
    for (let index = 0; index < members.length; index += 1) {
      const member = members[(first + index) % members.length];
      if (member !== undefined && this.#isProbeDue(table, member, request.repeatable, nowMs)) {
        return member;
      }
    }
    return null;
  }

  /**
   * A request that may not be repeated is a probe only where none other came for a long time;
   * a service without repeatable requests would otherwise never use a recovered target again.
   */
  #isProbeDue(
    table: ServiceTable,
    member: RouteMember,
    repeatable: boolean,
    nowMs: number,
  ): boolean {
    const { target, view } = member;
    if (target.state !== 'live' || !table.isZoneIn(target.zone) || view.isHeld(nowMs)) return false;
    const zone = this.#getZone(view.zone).breaker;
    const dueMs = repeatable ? nowMs : nowMs - this.#settings.openMaxMs;
    if (zone.isOpen()) return zone.isProbeDue(dueMs);
    if (view.breaker.isOpen()) return view.breaker.isProbeDue(dueMs);
    if (view.report === null || view.report.state === 'serving') return false;
    view.withdraw(nowMs, ASK_AGAIN_MS);
    return true;
  }

  #score(member: RouteMember, request: RouteRequest, nowMs: number): Candidate {
    const saved = this.#computeSavedTokens(member.view, request);
    let scoreMs = scoreTarget(member.view, member.load, request, saved, this.#settings, nowMs);
    if (this.#zone !== null && member.target.zone !== this.#zone) {
      scoreMs += this.#settings.otherZoneMs / Math.max(1, request.maxTokens / 2);
    }
    return { member, scoreMs, savedShare: saved / Math.max(1, request.promptTokens) };
  }

  /** The hashes divide the prompt evenly, so the longest known one gives the saved share. */
  #computeSavedTokens(view: TargetView, request: RouteRequest): number {
    const hashes = request.prefixHashes ?? [];
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const hash = hashes[index];
      if (hash !== undefined && view.hints.has(hash)) {
        return (request.promptTokens * (index + 1)) / hashes.length;
      }
    }
    return 0;
  }

  #collectCandidates(table: ServiceTable, request: RouteRequest, nowMs: number): Candidate[] {
    const members: RouteMember[] = [];
    for (let draws = 0; draws < MOST_DRAWS && members.length < DRAWN; draws += 1) {
      const member = table.draw(this.#random);
      if (member === undefined) break;
      if (members.includes(member) || request.tried.has(member.target.id)) continue;
      members.push(member);
    }
    this.#addHolders(table, request, nowMs, members);
    if (members.length === 0) {
      for (const member of table.usable) {
        if (!request.tried.has(member.target.id)) members.push(member);
      }
    }
    const candidates: Candidate[] = [];
    for (const member of members) candidates.push(this.#score(member, request, nowMs));
    return candidates;
  }

  /** Adds holders of the longest cached prefix whose load is within the allowed skew. */
  #addHolders(
    table: ServiceTable,
    request: RouteRequest,
    nowMs: number,
    members: RouteMember[],
  ): void {
    const hashes = request.prefixHashes ?? [];
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const holders = this.#prefixes.find(hashes[index] ?? '');
      if (holders.length === 0) continue;
      const first = Math.floor(this.#random.next() * holders.length);
      let added = 0;
      for (let step = 0; step < holders.length && added < MOST_HOLDERS; step += 1) {
        const view = holders[(first + step) % holders.length];
        const member = view === undefined ? undefined : table.getMember(view.id);
        if (member === undefined || members.includes(member)) continue;
        if (request.tried.has(member.target.id)) continue;
        if (!(this.#weigh(table, member, nowMs) > 0)) continue;
        if (!this.#isWithinSkew(member, nowMs)) continue;
        members.push(member);
        added += 1;
      }
      if (added > 0) return;
    }
  }

  #isWithinSkew({ view, load }: RouteMember, nowMs: number): boolean {
    const limit = view.estimateLimit(nowMs, load);
    const most = (1 + this.#settings.affinitySkew) * load.tokensPerSlot * limit;
    if (view.estimateTokens(nowMs, load) > most) return false;
    return view.estimateInFlight(nowMs, load) < limit;
  }

  /** Refuses what no target can begin in time, by the least wait of all usable targets. */
  #refuseEarly(
    table: ServiceTable,
    request: RouteRequest,
    candidates: readonly Candidate[],
  ): Result<RouteDecision, Failure> | null {
    let savedShare = 0;
    for (const candidate of candidates) savedShare = Math.max(savedShare, candidate.savedShare);
    const prefillMs =
      this.#settings.prefillMsPerToken * request.promptTokens * Math.max(0, 1 - savedShare);
    if (prefillMs > request.deadlineMs) {
      return fail('deadline_exceeded', 'the prompt alone takes longer than the time left');
    }
    const waitMs = table.leastWaitMs * WAIT_SHARE[request.priority];
    if (waitMs + prefillMs <= request.deadlineMs) return null;
    const message = `the shortest queue takes ${Math.round(waitMs)} ms, longer than the time left`;
    return fail('overloaded', message, Math.ceil(waitMs));
  }

  #choose(request: RouteRequest, candidates: readonly Candidate[]): RouteDecision {
    const ordered = [...candidates].sort((a, b) => a.scoreMs - b.scoreMs);
    const cached = (ordered[0]?.savedShare ?? 0) > 0;
    const reason = cached ? 'lowest score, prefix cached' : 'lowest score';
    return this.#decide(request, ordered, reason, false);
  }

  /** The last resort where the subset has no usable target that was not tried. */
  #pickOutside(
    table: ServiceTable,
    request: RouteRequest,
    nowMs: number,
  ): Result<RouteDecision, Failure> {
    const first = Math.floor(this.#random.next() * table.targets.length);
    for (let index = 0; index < table.targets.length; index += 1) {
      const target = table.targets[(first + index) % table.targets.length];
      if (target === undefined || request.tried.has(target.id)) continue;
      const known = table.getMember(target.id);
      const view = known?.view ?? this.#getView(target, false);
      const member = known ?? { target, view, load: table.getLoad(target.group) };
      if (!this.#isOffered(table, member, nowMs) || view.breaker.isOpen()) continue;
      const candidate = this.#score(member, request, nowMs);
      const reason = known ? 'no better target is left' : 'the subset has no usable target';
      return Ok(this.#decide(request, [candidate], reason, false));
    }
    return fail(
      'no_target',
      `none of ${table.targets.length} targets takes new work`,
      NO_TARGET_RETRY_MS,
    );
  }

  #decide(
    request: RouteRequest,
    ordered: readonly Candidate[],
    reason: string,
    probe: boolean,
  ): RouteDecision {
    const best = ordered[0];
    if (best === undefined) throw new Error('a decision needs a candidate');
    const { target, view } = best.member;
    return {
      service: request.service,
      target: target.id,
      zone: target.zone,
      incarnation: view.getIncarnation(),
      probe,
      reason,
      candidates: ordered.map(({ member, scoreMs }) => ({ target: member.target.id, scoreMs })),
    };
  }
}
