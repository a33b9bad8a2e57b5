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
 * Candidates drawn by weight for each pick. With 2, the mean step time in the routing bench is 4%
 * higher; 8 give no further gain.
 */
const CANDIDATES_PER_PICK = 4;

/** Draws after which a pick continues with fewer candidates. */
const MAX_DRAWS_PER_PICK = 8;

/** Targets with a cached prefix that a pick considers. */
const MAX_PREFIX_HOLDERS = 2;

/** Time after which a target excluded by its state is probed again if a probe brought no report. */
const STATE_PROBE_TIMEOUT_MS = 3000;

/** Prefix hashes kept over all targets; about 40 MB of the 256 MB that a node may use. */
const MAX_TOTAL_HINTS = 200_000;

const NO_TARGET_RETRY_MS = 1000;

/**
 * Share of the reported queue delay expected for each priority. Agents order their queues by
 * priority, so a high-priority request overtakes most of the queue.
 */
const QUEUE_DELAY_SHARE: Readonly<Record<Priority, number>> = { high: 0.25, normal: 1, low: 1.5 };

/**
 * Error kinds that do not indicate a fault of the target; the caller or its deadline ended the
 * attempt.
 */
const NEUTRAL_ERROR_KINDS: ReadonlySet<ErrorKind> = new Set([
  'cancelled',
  'timed_out',
  'key_in_progress',
]);

/**
 * Chooses the target of each attempt at one entry. Uses no timers: all decay is computed from the
 * clock at the time of use. The caller must report each attempt with `recordSend` and exactly one
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

  /**
   * Set by the first `recordFrame`; without frame reports, every long answer would count as
   * stalled.
   */
  #detectStalls = false;

  #zonesCheckedMs = -Infinity;

  /**
   * @param options.entry id of this entry; determines its subset of the targets
   * @param options.zone zone of this entry, whose targets are preferred; null for no preference
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

  /**
   * Sets the live entries, including this one, so that their subsets together cover all targets.
   */
  setEntries(entries: readonly InstanceId[]): void {
    this.#entries = [...entries];
    for (const table of this.#tables.values()) {
      this.#rebuildSubset(table, new Map(table.targets.map((target) => [target.id, target])));
    }
  }

  /** Sets all targets of a service. An empty list removes the service. */
  updateTargets(service: ServiceName, targets: readonly RouteTarget[]): void {
    const table = this.#tables.get(service) ?? new ServiceTable(service);
    if (targets.length === 0) this.#tables.delete(service);
    else this.#tables.set(service, table);
    const previous = new Map(table.targets.map((target) => [target.id, target]));
    table.targets = [...targets];
    this.#rebuildSubset(table, previous);
    for (const target of targets) {
      const wasLeaving = previous.get(target.id)?.state === 'leaving';
      if (wasLeaving && target.state === 'live') this.#views.get(target.id)?.clearExclusion();
    }
    this.#removeUnusedViews();
  }

  /**
   * Sets the zones that the document of a service lists as in and out. Targets in a zone that is in
   * again are assumed to be cold, so their load is reset.
   */
  setZones(service: ServiceName, zonesIn: readonly Zone[], zonesOut: readonly Zone[]): void {
    const table = this.#tables.get(service) ?? new ServiceTable(service);
    this.#tables.set(service, table);
    const excludedMembers = table.members.filter(({ target }) => !table.isZoneIn(target.zone));
    table.setZones(zonesIn, zonesOut);
    for (const { target, view } of excludedMembers) {
      if (table.isZoneIn(target.zone)) view.markCold(this.#clock.getNow());
    }
  }

  /** Handles a load report from any frame. Reports of an older incarnation are dropped. */
  handleLoad(report: LoadReport): void {
    const view = this.#views.get(report.target);
    if (view === undefined) return;
    const nowMs = this.#clock.getNow();
    const previous = view.report;
    if (!view.handleReport(report, nowMs)) return;
    if (previous !== null && previous.incarnation !== report.incarnation) {
      this.#prefixes.clear(view);
      view.hints.resetSequence();
      view.breaker.allowProbe(nowMs);
    }
    const limitChanged = previous === null || previous.limit !== report.limit;
    if (limitChanged || previous.state !== report.state) this.#markStale(view.id);
  }

  /** Handles a cache event; a gap in the sequence clears the target's prefix hints. */
  handleCacheEvent(event: CacheEvent): void {
    const view = this.#views.get(event.target);
    if (view === undefined || event.incarnation !== view.getIncarnation()) return;
    const order = view.hints.checkSequence(event.sequence);
    if (order === 'old') return;
    if (order === 'gap') this.#prefixes.clear(view);
    for (const hash of event.removed) this.#prefixes.remove(view, hash);
    for (const hash of event.added) this.#prefixes.add(view, hash);
  }

  /**
   * Records that a frame arrived from a target. Must be called for every frame, including
   * `Progress`.
   */
  recordFrame(target: TargetId): void {
    this.#detectStalls = true;
    this.#views.get(target)?.recordFrame(this.#clock.getNow());
  }

  /** Records that an attempt was sent. */
  recordSend(decision: RouteDecision, cost: RequestCost): void {
    const view = this.#views.get(decision.target);
    if (view === undefined) return;
    const nowMs = this.#clock.getNow();
    view.recordSend(cost, nowMs);
    for (const hash of cost.prefixHashes ?? []) this.#prefixes.add(view, hash);
    if (!decision.probe) return;
    if (view.breaker.isOpen()) view.breaker.startProbe(nowMs);
    const { breaker } = this.#getZoneHealth(view.zone);
    if (breaker.isOpen()) breaker.startProbe(nowMs);
    this.#markStale(view.id);
  }

  /**
   * Records the end of an attempt; must be called exactly once for each `recordSend`.
   *
   * @param outcome `complete` for a complete answer, else the error kind of the attempt
   * @param wasSent false if the attempt was not sent because there was no connection
   */
  recordFinish(decision: RouteDecision, outcome: 'complete' | ErrorKind, wasSent = true): void {
    const view = this.#views.get(decision.target);
    if (view === undefined) return;
    view.recordFinish();
    const nowMs = this.#clock.getNow();
    if (!wasSent) {
      this.recordFailure(decision.target, outcome === 'complete' ? 'internal' : outcome);
      return;
    }
    // The agent answers, but its target takes no connections.
    const isTargetDown = outcome === 'target_cold';
    const isRefusal = outcome !== 'complete' && !isTargetDown && answerTable[outcome].run === 'no';
    if (isRefusal && view.lastFailure === 'target_error') {
      // The agent answered, so the path works; whether the target works is still unknown.
      view.breaker.retryProbe(nowMs);
      this.#recordZoneSuccess(view, nowMs);
    } else if (isRefusal || outcome === 'complete') {
      const wasOpen = view.breaker.isOpen();
      view.breaker.recordSuccess(nowMs);
      this.#recordZoneSuccess(view, nowMs);
      if (wasOpen) this.#markStale(view.id);
    } else if (NEUTRAL_ERROR_KINDS.has(outcome)) {
      view.breaker.retryProbe(nowMs);
    } else {
      this.recordFailure(decision.target, outcome);
    }
  }

  /**
   * Starts the probes that are due and returns their targets. The entry requests a load report from
   * the agents of these targets and passes the result to `recordProbe`. Without this, a breaker
   * would never close for a service whose requests may not be repeated and so are not used as
   * probes.
   */
  startProbes(): TargetId[] {
    const nowMs = this.#clock.getNow();
    const started: TargetId[] = [];
    for (const table of this.#tables.values()) {
      for (const member of table.members) {
        if (!this.#isProbeDue(table, member, true, nowMs)) continue;
        const { target, view } = member;
        const zoneBreaker = this.#getZoneHealth(view.zone).breaker;
        if (view.breaker.isOpen()) view.breaker.startProbe(nowMs);
        if (zoneBreaker.isOpen()) zoneBreaker.startProbe(nowMs);
        started.push(target.id);
      }
    }
    return started;
  }

  /**
   * Records that the agent of a target has started at another address; its known state is outdated.
   */
  recordRestart(target: TargetId): void {
    const view = this.#views.get(target);
    if (view === undefined) return;
    view.markCold(this.#clock.getNow());
    view.breaker.allowProbe(this.#clock.getNow());
    this.#markStale(target);
  }

  /** Records whether the agent of a target answered a probe. */
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
   * Records a failure of a target or the path to it outside an attempt, for example a refused
   * connection. Failed attempts must be reported with `recordFinish` only.
   */
  recordFailure(target: TargetId, kind: ErrorKind): void {
    const view = this.#views.get(target);
    if (view === undefined || NEUTRAL_ERROR_KINDS.has(kind)) return;
    const nowMs = this.#clock.getNow();
    view.lastFailure = kind;
    view.breaker.recordFailure(nowMs);
    const zone = this.#getZoneHealth(view.zone);
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
   * @returns the decision, or `unknown_service`, `deadline_exceeded` (no target can finish in
   *   time), `overloaded` (every target's queue is longer than the time left) or `no_target`. If an
   *   earlier attempt may have run, `chooseFailureKind` chooses the kind that the caller receives.
   */
  pick(request: RouteRequest): Result<RouteDecision, Failure> {
    const table = this.#tables.get(request.service);
    if (table === undefined || table.targets.length === 0) {
      return fail('unknown_service', `service ${request.service} has no known targets`);
    }
    if (request.deadlineMs <= 0) return fail('deadline_exceeded', 'the deadline has passed');
    const nowMs = this.#clock.getNow();
    if (table.stale || nowMs - table.refreshedMs >= this.#settings.refreshMs) {
      this.#refresh(table, nowMs);
    }
    const probe = this.#findProbe(table, request, nowMs);
    if (probe !== null) {
      return Ok(this.#createDecision(request, [this.#score(probe, request, nowMs)], 'probe', true));
    }
    const candidates = this.#collectCandidates(table, request, nowMs);
    if (candidates.length === 0) return this.#pickFallback(table, request, nowMs);
    const refusal = this.#refuseEarly(table, request, candidates);
    if (refusal !== null) return refusal;
    return Ok(this.#chooseBest(request, candidates));
  }

  /**
   * Returns the current status of each service, for logs and metrics. Too costly to call per
   * request.
   */
  getStatus(): ServiceStatus[] {
    const nowMs = this.#clock.getNow();
    const statuses: ServiceStatus[] = [];
    for (const table of this.#tables.values()) {
      this.#refresh(table, nowMs);
      const openTargets: TargetId[] = [];
      const openZones = new Set<Zone>();
      for (const { target, view } of table.members) {
        if (view.breaker.isOpen()) openTargets.push(target.id);
        if (this.#getZoneHealth(target.zone).breaker.isOpen()) openZones.add(target.zone);
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

  /** @param previous targets of the service before the update */
  #rebuildSubset(table: ServiceTable, previous: ReadonlyMap<TargetId, RouteTarget>): void {
    const subset = chooseSubset(this.#entry, this.#entries, table.targets, this.#settings);
    // Targets added to a service with reports have just started. At the start of the entry there
    // are no reports; assuming that all targets are cold would overload the first that sends one.
    const hasReports = table.members.some(({ view }) => view.report !== null);
    table.setMembers(subset, (target) =>
      this.#getView(target, hasReports && !previous.has(target.id)),
    );
    const hintsPerView = Math.ceil(MAX_TOTAL_HINTS / Math.max(1, this.#views.size));
    const limit = Math.min(this.#settings.hintsPerTarget, hintsPerView);
    for (const view of this.#views.values()) view.hints.setLimit(limit);
  }

  #getView(target: RouteTarget, isCold: boolean): TargetView {
    const existing = this.#views.get(target.id);
    if (existing !== undefined) {
      existing.zone = target.zone;
      return existing;
    }
    const view = new TargetView(target.id, target.zone, this.#settings, this.#random);
    if (isCold) view.markCold(this.#clock.getNow());
    this.#views.set(target.id, view);
    return view;
  }

  #getZoneHealth(zone: Zone): ZoneHealth {
    const existing = this.#zones.get(zone);
    if (existing !== undefined) return existing;
    const health = new ZoneHealth(this.#settings, this.#random);
    this.#zones.set(zone, health);
    return health;
  }

  #removeUnusedViews(): void {
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
    const zone = this.#getZoneHealth(view.zone);
    const wasOpen = zone.breaker.isOpen();
    zone.recordSuccess(view, nowMs);
    if (!wasOpen) return;
    // The other targets of the zone may have restarted too; the next report of a warm one restores
    // its load.
    for (const other of this.#views.values()) {
      if (other.zone !== view.zone || other === view) continue;
      if (other.breaker.isOpen()) other.breaker.allowProbe(nowMs);
      other.markCold(nowMs);
    }
    for (const table of this.#tables.values()) table.stale = true;
  }

  #refresh(table: ServiceTable, nowMs: number): void {
    if (nowMs - this.#zonesCheckedMs >= this.#settings.refreshMs) this.#checkZones(nowMs);
    table.refresh(nowMs, (member) => this.#computeWeight(table, member, nowMs));
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
      const health = this.#getZoneHealth(zone);
      const counts = health.countTargets(views, nowMs, this.#detectStalls);
      if (ZoneHealth.isFailed(counts)) failed.push(health);
      else if (counts.active > 0) working += 1;
    }
    // If no zone works, the fault is more likely at this entry.
    if (working === 0) return;
    for (const { breaker } of failed) breaker.open(nowMs);
  }

  /** Returns whether the instance list, the document and the target's report allow new work. */
  #isAvailable(table: ServiceTable, { target, view }: RouteMember, nowMs: number): boolean {
    if (target.state !== 'live' || !table.isZoneIn(target.zone) || view.isHeld(nowMs)) return false;
    return view.report === null || view.report.state === 'serving';
  }

  #computeWeight(table: ServiceTable, member: RouteMember, nowMs: number): number {
    const { view } = member;
    if (!this.#isAvailable(table, member, nowMs)) return 0;
    if (this.#detectStalls && view.isStalled(nowMs)) return 0;
    const zoneWeight = this.#getZoneHealth(view.zone).breaker.getWeight(nowMs);
    return view.estimateLimit(nowMs, member.load) * view.breaker.getWeight(nowMs) * zoneWeight;
  }

  /** Finds a failed target or zone whose next probe is due. */
  #findProbe(table: ServiceTable, request: RouteRequest, nowMs: number): RouteMember | null {
    if (request.tried.size > 0) return null;
    if (nowMs - table.probeSearchedMs < this.#settings.probeSpacingMs) return null;
    if (table.usable.length === table.members.length) return null;
    table.recordProbeSearch(nowMs);
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
   * Returns whether a probe of a member is due. A request that may not be repeated serves as a
   * probe only if the probe has been due for `openMaxMs`; otherwise a service without repeatable
   * requests would never use a recovered target again.
   */
  #isProbeDue(
    table: ServiceTable,
    member: RouteMember,
    repeatable: boolean,
    nowMs: number,
  ): boolean {
    const { target, view } = member;
    if (target.state !== 'live' || !table.isZoneIn(target.zone) || view.isHeld(nowMs)) return false;
    const zoneBreaker = this.#getZoneHealth(view.zone).breaker;
    const dueMs = repeatable ? nowMs : nowMs - this.#settings.openMaxMs;
    if (zoneBreaker.isOpen()) return zoneBreaker.isProbeDue(dueMs);
    if (view.breaker.isOpen()) return view.breaker.isProbeDue(dueMs);
    if (view.report === null || view.report.state === 'serving') return false;
    view.exclude(nowMs, STATE_PROBE_TIMEOUT_MS);
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

  /** The hashes divide the prompt evenly, so the longest cached one determines the saved share. */
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
    for (
      let draws = 0;
      draws < MAX_DRAWS_PER_PICK && members.length < CANDIDATES_PER_PICK;
      draws += 1
    ) {
      const member = table.draw(this.#random);
      if (member === undefined) break;
      if (members.includes(member) || request.tried.has(member.target.id)) continue;
      members.push(member);
    }
    this.#addPrefixHolders(table, request, nowMs, members);
    if (members.length === 0) {
      for (const member of table.usable) {
        if (!request.tried.has(member.target.id)) members.push(member);
      }
    }
    const candidates: Candidate[] = [];
    for (const member of members) candidates.push(this.#score(member, request, nowMs));
    return candidates;
  }

  /** Adds targets with the longest cached prefix whose load is within the allowed skew. */
  #addPrefixHolders(
    table: ServiceTable,
    request: RouteRequest,
    nowMs: number,
    members: RouteMember[],
  ): void {
    const hashes = request.prefixHashes ?? [];
    for (let index = hashes.length - 1; index >= 0; index -= 1) {
      const holders = this.#prefixes.findTargets(hashes[index] ?? '');
      if (holders.length === 0) continue;
      const first = Math.floor(this.#random.next() * holders.length);
      let added = 0;
      for (let step = 0; step < holders.length && added < MAX_PREFIX_HOLDERS; step += 1) {
        const view = holders[(first + step) % holders.length];
        const member = view === undefined ? undefined : table.getMember(view.id);
        if (member === undefined || members.includes(member)) continue;
        if (request.tried.has(member.target.id)) continue;
        if (!(this.#computeWeight(table, member, nowMs) > 0)) continue;
        if (!this.#isWithinSkew(member, nowMs)) continue;
        members.push(member);
        added += 1;
      }
      if (added > 0) return;
    }
  }

  #isWithinSkew({ view, load }: RouteMember, nowMs: number): boolean {
    const limit = view.estimateLimit(nowMs, load);
    const tokenLimit = (1 + this.#settings.affinitySkew) * load.tokensPerSlot * limit;
    if (view.estimateTokens(nowMs, load) > tokenLimit) return false;
    return view.estimateInFlight(nowMs, load) < limit;
  }

  /** Refuses a request that no usable target can start in time, by their minimum queue delay. */
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
      return fail(
        'deadline_exceeded',
        'the prefill of the prompt takes longer than the time until the deadline',
      );
    }
    const waitMs = table.minQueueDelayMs * QUEUE_DELAY_SHARE[request.priority];
    if (waitMs + prefillMs <= request.deadlineMs) return null;
    const message = `the shortest queue takes ${Math.round(waitMs)} ms, longer than the deadline allows`;
    return fail('overloaded', message, Math.ceil(waitMs));
  }

  #chooseBest(request: RouteRequest, candidates: readonly Candidate[]): RouteDecision {
    const ordered = [...candidates].sort((a, b) => a.scoreMs - b.scoreMs);
    const cached = (ordered[0]?.savedShare ?? 0) > 0;
    const reason = cached ? 'lowest score, prefix cached' : 'lowest score';
    return this.#createDecision(request, ordered, reason, false);
  }

  /** Picks any available target if every usable target of the subset has been tried. */
  #pickFallback(
    table: ServiceTable,
    request: RouteRequest,
    nowMs: number,
  ): Result<RouteDecision, Failure> {
    const first = Math.floor(this.#random.next() * table.targets.length);
    for (let index = 0; index < table.targets.length; index += 1) {
      const target = table.targets[(first + index) % table.targets.length];
      if (target === undefined || request.tried.has(target.id)) continue;
      const subsetMember = table.getMember(target.id);
      const view = subsetMember?.view ?? this.#getView(target, false);
      const member = subsetMember ?? { target, view, load: table.getLoad(target.group) };
      if (!this.#isAvailable(table, member, nowMs) || view.breaker.isOpen()) continue;
      const candidate = this.#score(member, request, nowMs);
      const reason = subsetMember ? 'no better target is left' : 'the subset has no usable target';
      return Ok(this.#createDecision(request, [candidate], reason, false));
    }
    return fail(
      'no_target',
      `none of the ${table.targets.length} targets accepts new work`,
      NO_TARGET_RETRY_MS,
    );
  }

  #createDecision(
    request: RouteRequest,
    ordered: readonly Candidate[],
    reason: string,
    probe: boolean,
  ): RouteDecision {
    const best = ordered[0];
    if (best === undefined) throw new Error('cannot create a route decision without a candidate');
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
