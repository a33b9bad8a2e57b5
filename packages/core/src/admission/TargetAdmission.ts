import type { Clock } from '../clock/Clock.js';
import type { ServiceDocument } from '../document/ServiceDocument.js';
import type { VersionedDocument } from '../document/VersionedDocument.js';
import type { ErrorKind } from '../errors/ErrorKind.js';
import type { Failure } from '../errors/Failure.js';
import { Incarnation } from '../ids/Incarnation.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import { ConcurrencyLimit } from '../overload/ConcurrencyLimit.js';
import { FairQueue } from '../overload/FairQueue.js';
import type { QueueEntry } from '../overload/QueueEntry.js';
import { ServiceTimeEstimator } from '../overload/ServiceTimeEstimator.js';
import { estimateCost } from '../overload/estimateCost.js';
import { PaceTracker } from '../ramp/PaceTracker.js';
import { Ramp } from '../ramp/Ramp.js';
import { UsageWindow } from '../ramp/UsageWindow.js';
import { paceLimits } from '../ramp/paceLimits.js';
import type { AdmissionItem } from './AdmissionItem.js';
import type { AdmissionOutcome } from './AdmissionOutcome.js';
import type { AdmissionSample } from './AdmissionSample.js';
import type { AdmissionState } from './AdmissionState.js';
import type { AdmissionStatus } from './AdmissionStatus.js';
import type { AttemptId } from './AttemptId.js';
import { AttemptMemory } from './AttemptMemory.js';
import type { Connectivity } from './Connectivity.js';
import type { EngineStatus } from './EngineStatus.js';
import type { LoadReport } from './LoadReport.js';
import { Priority } from './Priority.js';
import type { SubmitResult } from './SubmitResult.js';
import { matchTarget } from './matchTarget.js';

/** `isolation_grace`: equal to the bound on new work in a zone that is out (I3). */
const ISOLATION_GRACE_MS = 3000;
/**
 * How long after its deadline an attempt may still be delivered. A closed connection retransmits
 * what it holds for up to about 925 s with the usual kernel settings (15 retries).
 */
const DELIVERY_MARGIN_MS = 960_000;
/** About 500 attempts/s that may not be repeated; about 52 MB when full. */
const MEMORY_CAPACITY = 500_000;
/** The adaptive limit decides this many times in a ramp interval. */
const WINDOWS_PER_INTERVAL = 4;
/** Samples that an adaptive window waits for, unless the limit is lower. */
const WINDOW_SAMPLES = 16;
const LONGEST_RETRY_MS = 10_000;
const SHORTEST_RETRY_MS = 50;
const STEP_CLASS = 'step';
/** Weight of a new service time in the smoothed one. */
const SERVICE_TIME_WEIGHT = 0.1;
/** An emptied cache: a tenth or less is left of a cache that was in use. */
const CACHE_IN_USE = 0.1;
const CACHE_LEFT = 0.1;

interface Entry extends QueueEntry {
  readonly item: AdmissionItem;
  readonly paceClass: string;
}

interface Running {
  readonly entry: Entry;
  readonly startedMs: number;
}

function buildId(id: AttemptId): string {
  return `${id.attempt}:${id.requestId}`;
}

/** Requests of one route and one power of two of cost have comparable service times. */
function describeClass(item: AdmissionItem, cost: number): string {
  return `${item.route ?? ''}#${Math.ceil(Math.log2(cost))}`;
}

/**
 * The authority over one target: what may be handed to it, and when. Entries only hold reports;
 * limits hold over all entries because every slot is granted here.
 *
 * It has no timers. Call `tick` every 50 to 100 ms, and act on the outcome of every call.
 */
export class TargetAdmission {
  readonly #clock: Clock;

  readonly #target: TargetId;

  #zone: Zone | null = null;

  #versioned: VersionedDocument | null = null;

  #highestRevision = 0;

  #listed = false;

  #zoneOut = false;

  #leaving = false;

  #connectivity: Connectivity | null = null;

  #engine: EngineStatus | null = null;

  #incarnation: Incarnation;

  readonly #running = new Map<string, Running>();

  #runningCost = 0;

  readonly #queue = new FairQueue<Entry>();

  #queuedPromptTokens = 0;

  readonly #memory: AttemptMemory;

  /** Until then attempts that may not be repeated are refused; see `#rememberRefused`. */
  #closedUntilMs = -Infinity;

  readonly #pace = new PaceTracker();

  readonly #estimator = new ServiceTimeEstimator();

  #ramp: Ramp | null = null;

  #adaptive: ConcurrencyLimit | null = null;

  readonly #rampWindow: UsageWindow;

  readonly #adaptiveWindow: UsageWindow;

  /** Samples of requests started before say nothing about the target as it is now. */
  #restartedMs: number;

  #rampRestarts = 0;

  #rampReason = 'agent started';

  #paceRatio: number | null = null;

  /** Smoothed service time; stands for the step time of a target without steps. */
  #serviceTimeMs = 0;

  #startedCount = 0;

  #finishedCount = 0;

  #duplicateCount = 0;

  readonly #refusedCounts = new Map<ErrorKind, number>();

  /**
   * @param options.target name matched against the document
   * @param options.memoryCapacity largest number of remembered attempts
   */
  constructor(options: {
    readonly clock: Clock;
    readonly target: TargetId;
    readonly memoryCapacity?: number;
  }) {
    this.#clock = options.clock;
    this.#target = options.target;
    this.#memory = new AttemptMemory(options.memoryCapacity ?? MEMORY_CAPACITY);
    const nowMs = this.#clock.getNow();
    this.#incarnation = Incarnation.parse(this.#clock.getWallTime().getTime() * 1000);
    this.#rampWindow = new UsageWindow(nowMs);
    this.#adaptiveWindow = new UsageWindow(nowMs);
    this.#restartedMs = nowMs;
  }

  /** Takes over a document; null means that none is known. Older revisions are ignored. */
  setDocument(versioned: VersionedDocument | null): AdmissionOutcome {
    if (versioned !== null) {
      if (versioned.revision < this.#highestRevision) return this.tick();
      this.#highestRevision = versioned.revision;
    }
    this.#versioned = versioned;
    const document = versioned?.document ?? null;
    this.#listed = document !== null && matchTarget(document.targets, this.#target);
    if (document !== null) this.#applyLimits(document);
    return this.tick();
  }

  setZone(zone: Zone): AdmissionOutcome {
    this.#zone = zone;
    return this.tick();
  }

  /** Refuses new work from now on; there is no way back. */
  setLeaving(): AdmissionOutcome {
    this.#leaving = true;
    return this.tick();
  }

  setConnectivity(connectivity: Connectivity): AdmissionOutcome {
    this.#connectivity = connectivity;
    return this.tick();
  }

  /** Takes over what the target reports about itself; detects restarts and lost caches. */
  setEngine(status: EngineStatus): AdmissionOutcome {
    const previous = this.#engine;
    const nowMs = this.#clock.getNow();
    this.#engine = status;
    if (previous !== null && previous.startedAt !== 0 && previous.startedAt !== status.startedAt) {
      return this.restartIncarnation('engine start time changed');
    }
    if (
      previous !== null &&
      previous.cacheUsed >= CACHE_IN_USE &&
      status.cacheUsed <= previous.cacheUsed * CACHE_LEFT
    ) {
      this.#restartRamp(nowMs, 'cache emptied');
    }
    this.#rampWindow.recordWaiting(status.waiting);
    if (status.stepTimeMs > 0 && this.#running.size > 0) {
      const ratio = this.#pace.record(STEP_CLASS, status.stepTimeMs);
      this.#rampWindow.recordPace(ratio, true);
      this.#adaptiveWindow.recordPace(ratio, true);
      this.#checkCold(nowMs);
    }
    return this.tick();
  }

  /** Sets the warm step time from outside, such as the median over the service's targets. */
  setWarmStepTime(stepTimeMs: number): void {
    this.#pace.setWarm(STEP_CLASS, stepTimeMs);
  }

  /**
   * Raises the incarnation and restarts the ramp; for a restart that the agent noticed. Queued
   * items that expect the old incarnation are refused: their entries would drop the answer.
   */
  restartIncarnation(reason: string): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const wallUs = this.#clock.getWallTime().getTime() * 1000;
    this.#incarnation = Incarnation.parse(Math.max(this.#incarnation + 1, wallUs));
    this.#restartRamp(nowMs, reason);
    const outcome: AdmissionOutcome = { started: [], refused: [] };
    for (const entry of this.#queue.takeStale(({ item }) => this.#isStale(item))) {
      this.#refuseQueued(nowMs, entry, this.#buildStale(entry.item), outcome);
    }
    const { started, refused } = this.tick();
    return { started, refused: [...outcome.refused, ...refused] };
  }

  getIncarnation(): Incarnation {
    return this.#incarnation;
  }

  /** Decides about a delivered attempt. */
  submit(item: AdmissionItem): SubmitResult {
    const outcome = this.tick();
    const nowMs = this.#clock.getNow();
    const id = buildId(item);
    // Before all other checks: a refusal declares that nothing ran, which may be false for an
    // attempt that was delivered before.
    if (this.#running.has(id) || this.#queue.get(id) !== undefined || this.#memory.has(id)) {
      this.#duplicateCount += 1;
      const message = `attempt ${item.attempt} of request ${item.requestId} was delivered before`;
      return { type: 'duplicate', failure: { kind: 'outcome_unknown', message }, outcome };
    }
    const cost = estimateCost(item);
    const paceClass = describeClass(item, cost);
    const entry: Entry = {
      id,
      item,
      paceClass,
      cost,
      workspace: item.workspace,
      level: Priority.options.indexOf(item.priority),
      deadlineMs: item.deadlineMs,
      // Where others wait for the slot, it goes to a request that will make it.
      latestStartMs: item.deadlineMs - this.#estimator.estimateHigh(paceClass, cost),
    };
    const failure = this.#checkItem(nowMs, entry);
    if (failure !== null) {
      this.#countRefusal(failure);
      this.#rememberRefused(nowMs, entry);
      return { type: 'refused', failure, outcome };
    }
    if (this.#queue.getSize() === 0 && this.#running.size < this.#getLimit()) {
      this.#start(nowMs, entry);
      return { type: 'start', outcome };
    }
    const full = this.#enqueue(nowMs, entry, outcome);
    if (full !== null) {
      this.#countRefusal(full);
      this.#rememberRefused(nowMs, entry);
      return { type: 'refused', failure: full, outcome };
    }
    return { type: 'queued', outcome };
  }

  /** Ends a started item; unknown ids are ignored. */
  finish(id: AttemptId, sample: AdmissionSample): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const running = this.#release(nowMs, buildId(id));
    if (running === null) return this.tick();
    this.#finishedCount += 1;
    const { entry, startedMs } = running;
    const current = startedMs >= this.#restartedMs;
    const inRamp = current && this.#rampWindow.recordFinish(sample.error);
    const inAdaptive = current && this.#adaptiveWindow.recordFinish(sample.error);
    if (!sample.error) {
      this.#smoothServiceTime(sample.serviceTimeMs);
      this.#estimator.record(entry.paceClass, entry.cost, sample.serviceTimeMs);
      const isStep = sample.stepTimeMs > 0;
      const name = isStep ? STEP_CLASS : entry.paceClass;
      const ratio = this.#pace.record(name, isStep ? sample.stepTimeMs : sample.serviceTimeMs);
      if (inRamp) this.#rampWindow.recordPace(ratio, isStep);
      if (inAdaptive) this.#adaptiveWindow.recordPace(ratio, isStep);
      this.#checkCold(nowMs);
    }
    return this.tick();
  }

  /** Ends an item without a measurement: queued, withdrawn before the hand-over, or cancelled. */
  cancel(id: AttemptId): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const key = buildId(id);
    const queued = this.#queue.remove(key);
    if (queued !== null) {
      this.#queuedPromptTokens -= queued.item.promptTokens;
      this.#rememberRefused(nowMs, queued);
    } else this.#release(nowMs, key);
    return this.tick();
  }

  /** Applies the passing of time: isolation, expired items, limits. */
  tick(): AdmissionOutcome {
    const outcome: AdmissionOutcome = { started: [], refused: [] };
    const nowMs = this.#clock.getNow();
    this.#memory.expire(nowMs);
    const blocked = this.#checkState(nowMs);
    const zoneOut = blocked?.kind === 'zone_out';
    // A returning zone ramps target by target; its caches may have gone cold meanwhile.
    if (this.#zoneOut && !zoneOut) this.#restartRamp(nowMs, 'zone returned');
    this.#zoneOut = zoneOut;
    if (blocked !== null) {
      for (const entry of this.#queue.drain()) this.#refuseQueued(nowMs, entry, blocked, outcome);
    } else {
      for (const entry of this.#queue.takeExpired(nowMs)) {
        this.#refuseQueued(nowMs, entry, this.#buildLate(nowMs, entry), outcome);
      }
    }
    this.#advanceLimits(nowMs);
    while (this.#queue.getSize() > 0 && this.#running.size < this.#getLimit()) {
      const entry = this.#queue.take();
      if (entry === null) break;
      this.#queuedPromptTokens -= entry.item.promptTokens;
      this.#start(nowMs, entry);
      outcome.started.push(entry.item);
    }
    this.#updateUse(nowMs);
    return outcome;
  }

  getLoad(): LoadReport {
    const nowMs = this.#clock.getNow();
    return {
      target: this.#target,
      incarnation: this.#incarnation,
      state: this.#getState(nowMs),
      inFlight: this.#running.size,
      limit: this.#getLimit(),
      queued: this.#queue.getSize(),
      queueDelayMs: this.#estimateWait(this.#queue.getCost()),
      stepTimeMs: this.#engine?.stepTimeMs ?? this.#serviceTimeMs,
      tokensInFlight: this.#runningCost,
      queuedPromptTokens: this.#queuedPromptTokens,
      kvFree: this.#engine?.kvFree ?? 1,
      configRevision: this.#highestRevision,
    };
  }

  /** Returns figures for logs, metrics and the status page. */
  getStatus(): AdmissionStatus {
    const nowMs = this.#clock.getNow();
    const ramp = this.#ramp;
    let rampState: AdmissionStatus['rampState'] = 'cold';
    if (ramp !== null && ramp.isFull()) rampState = 'full';
    else if (ramp !== null && !ramp.isAtStart()) rampState = 'ramping';
    return {
      state: this.#getState(nowMs),
      isolated: this.#isIsolated(nowMs),
      rampState,
      rampLimit: ramp?.getLimit() ?? 0,
      adaptiveLimit: this.#adaptive?.getLimit() ?? 0,
      rampRestarts: this.#rampRestarts,
      rampReason: this.#rampReason,
      paceRatio: this.#paceRatio,
      started: this.#startedCount,
      finished: this.#finishedCount,
      duplicates: this.#duplicateCount,
      refused: this.#refusedCounts,
      rememberedAttempts: this.#memory.getSize(),
    };
  }

  #getDocument(): ServiceDocument | null {
    return this.#versioned?.document ?? null;
  }

  #applyLimits(document: ServiceDocument): void {
    const { maxInFlight } = document.limits;
    if (this.#ramp === null || this.#adaptive === null) {
      this.#ramp = new Ramp(document.ramp, maxInFlight);
      this.#adaptive = new ConcurrencyLimit(maxInFlight);
      return;
    }
    this.#ramp.setSettings(document.ramp, maxInFlight);
    this.#adaptive.setCeiling(maxInFlight);
  }

  #getLimit(): number {
    if (this.#ramp === null || this.#adaptive === null) return 0;
    return Math.min(this.#ramp.getLimit(), this.#adaptive.getLimit());
  }

  #isIsolated(nowMs: number): boolean {
    const known = this.#connectivity;
    if (known === null) {
      const zones = this.#getDocument()?.zones;
      return zones !== undefined && zones.in.length + zones.out.length > 1;
    }
    if (known.zoneCount <= 1) return false;
    const heardMs = Math.max(known.storeConfirmedMs, known.outsideZoneHeardMs);
    return nowMs - heardMs >= ISOLATION_GRACE_MS;
  }

  /** Returns why no new work is taken, or null. The order is that of the design page. */
  #checkState(nowMs: number): Failure | null {
    if (this.#versioned === null || this.#zone === null) {
      return { kind: 'not_ready', message: 'the configuration is not known yet' };
    }
    const { document, name } = this.#versioned;
    if (document === null) {
      return { kind: 'unknown_service', message: `service ${name} was deleted` };
    }
    if (document.service.isolation === 'refuse' && this.#isIsolated(nowMs)) {
      return {
        kind: 'isolated',
        message: 'no contact with the store or another zone; the zone may have been taken out',
      };
    }
    if (!document.zones.in.includes(this.#zone) || document.zones.out.includes(this.#zone)) {
      return { kind: 'zone_out', message: `zone ${this.#zone} is out of service ${name}` };
    }
    if (!this.#listed) {
      return { kind: 'leaving', message: `target ${this.#target} is not in service ${name}` };
    }
    if (this.#leaving) return { kind: 'leaving', message: `target ${this.#target} is leaving` };
    return null;
  }

  #getState(nowMs: number): AdmissionState {
    const kind = this.#checkState(nowMs)?.kind;
    if (kind === undefined) return 'serving';
    if (kind === 'not_ready' || kind === 'isolated' || kind === 'zone_out') return kind;
    return 'leaving';
  }

  /** Checks everything up to the limit, in the order of the design page. */
  #checkItem(nowMs: number, entry: Entry): Failure | null {
    const blocked = this.#checkState(nowMs);
    if (blocked !== null) return blocked;
    const { item } = entry;
    if (this.#isStale(item)) return this.#buildStale(item);
    // An idle target takes any request: without samples a wrong estimate would never be corrected.
    const idle = this.#running.size === 0;
    const serviceMs = idle ? 0 : this.#estimator.estimate(entry.paceClass, entry.cost);
    if (entry.deadlineMs - serviceMs <= nowMs) return this.#buildLate(nowMs, entry);
    const closed = nowMs < this.#closedUntilMs || this.#memory.isFull();
    if (item.repeatable !== true && closed) {
      const message = 'the memory of delivered attempts is full';
      return { kind: 'overloaded', message, retryAfterMs: LONGEST_RETRY_MS };
    }
    return null;
  }

  #isStale(item: AdmissionItem): boolean {
    const expected = item.incarnation ?? 0;
    return expected !== 0 && expected !== this.#incarnation;
  }

  #buildStale(item: AdmissionItem): Failure {
    const message = `the target has incarnation ${this.#incarnation}, not ${item.incarnation ?? 0}`;
    return { kind: 'stale_incarnation', message };
  }

  #smoothServiceTime(timeMs: number): void {
    const weight = this.#serviceTimeMs === 0 ? 1 : SERVICE_TIME_WEIGHT;
    this.#serviceTimeMs += weight * (timeMs - this.#serviceTimeMs);
  }

  #buildLate(nowMs: number, entry: Entry): Failure {
    const leftMs = Math.max(0, Math.round(entry.deadlineMs - nowMs));
    const needMs = Math.round(entry.deadlineMs - entry.latestStartMs);
    return {
      kind: 'deadline_exceeded',
      message: `${leftMs} ms are left, the request takes about ${needMs} ms`,
    };
  }

  /** Queues an entry, or returns why it cannot wait. */
  #enqueue(nowMs: number, entry: Entry, outcome: AdmissionOutcome): Failure | null {
    const waitMs = this.#estimateWait(this.#queue.estimateAhead(entry));
    // The mean, not the high estimate: the wait is rough, and expiry decides for the rest.
    const serviceMs = this.#estimator.estimate(entry.paceClass, entry.cost);
    if (nowMs + waitMs + serviceMs > entry.deadlineMs) {
      return this.#buildFull(`the wait of about ${Math.round(waitMs)} ms exceeds the deadline`);
    }
    if (this.#queue.getSize() >= this.#getQueueBound()) {
      const evicted = this.#queue.evictFor(entry);
      if (evicted === null) return this.#buildFull('the queue is full');
      const failure = this.#buildFull('the queue is full; other work goes first');
      this.#refuseQueued(nowMs, evicted, failure, outcome);
    }
    this.#queue.enqueue(entry);
    this.#queuedPromptTokens += entry.item.promptTokens;
    return null;
  }

  #buildFull(message: string): Failure {
    const waitMs = this.#estimateWait(this.#queue.getCost());
    const retryAfterMs = Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, waitMs));
    const kind = this.#ramp?.isFull() === true ? 'overloaded' : 'target_cold';
    return { kind, message, retryAfterMs: Math.round(retryAfterMs) };
  }

  /** The queue of a target that is granted less is shorter in proportion. */
  #getQueueBound(): number {
    const limits = this.#getDocument()?.limits;
    if (limits === undefined) return 0;
    return Math.ceil((limits.queue * this.#getLimit()) / limits.maxInFlight);
  }

  /** Estimates how long the granted slots need for a cost. */
  #estimateWait(cost: number): number {
    return (cost * this.#estimator.getTimePerCost()) / Math.max(1, this.#getLimit());
  }

  #start(nowMs: number, entry: Entry): void {
    this.#running.set(entry.id, { entry, startedMs: nowMs });
    this.#runningCost += entry.cost;
    this.#startedCount += 1;
    this.#updateUse(nowMs);
  }

  #release(nowMs: number, id: string): Running | null {
    const running = this.#running.get(id);
    if (running === undefined) return null;
    this.#running.delete(id);
    this.#runningCost = this.#running.size === 0 ? 0 : this.#runningCost - running.entry.cost;
    this.#remember(nowMs, running.entry);
    this.#updateUse(nowMs);
    return running;
  }

  #updateUse(nowMs: number): void {
    const limit = this.#getLimit();
    this.#rampWindow.setUse(nowMs, this.#running.size, limit);
    this.#adaptiveWindow.setUse(nowMs, this.#running.size, limit);
  }

  #refuseQueued(nowMs: number, entry: Entry, failure: Failure, outcome: AdmissionOutcome): void {
    this.#queuedPromptTokens -= entry.item.promptTokens;
    this.#countRefusal(failure);
    this.#rememberRefused(nowMs, entry);
    outcome.refused.push({ item: entry.item, failure });
  }

  #countRefusal(failure: Failure): void {
    this.#refusedCounts.set(failure.kind, (this.#refusedCounts.get(failure.kind) ?? 0) + 1);
  }

  #remember(nowMs: number, entry: Entry): void {
    if (entry.item.repeatable === true) {
      if (!this.#memory.isFull()) this.#memory.add(entry.id, entry.deadlineMs);
      return;
    }
    this.#memory.add(entry.id, Math.max(nowMs, entry.deadlineMs) + DELIVERY_MARGIN_MS);
  }

  /**
   * Remembers a refused attempt: a second delivery must not run what was declared not run. When
   * there is no room, all attempts that may not be repeated are refused for as long as a second
   * delivery is possible.
   */
  #rememberRefused(nowMs: number, entry: Entry): void {
    if (entry.item.repeatable === true) return;
    if (this.#memory.isFull()) {
      const expiresMs = Math.max(nowMs, entry.deadlineMs) + DELIVERY_MARGIN_MS;
      this.#closedUntilMs = Math.max(this.#closedUntilMs, expiresMs);
    } else this.#remember(nowMs, entry);
  }

  #checkCold(nowMs: number): void {
    const ramp = this.#ramp;
    if (ramp === null || ramp.isAtStart()) return;
    const known = this.#adaptive?.getExpectedRatio(this.#running.size) ?? 1;
    if (this.#pace.isCold(Math.max(known, ramp.getProvenRatio()))) {
      this.#restartRamp(nowMs, 'service times several times the warm value');
    }
  }

  #restartRamp(nowMs: number, reason: string): void {
    this.#ramp?.restart();
    this.#adaptive?.reset();
    this.#pace.clearRecent();
    this.#estimator.clear();
    this.#rampWindow.reset(nowMs);
    this.#adaptiveWindow.reset(nowMs);
    this.#restartedMs = nowMs;
    this.#rampRestarts += 1;
    this.#rampReason = reason;
    this.#updateUse(nowMs);
  }

  #advanceLimits(nowMs: number): void {
    const ramp = this.#ramp;
    const adaptive = this.#adaptive;
    if (ramp === null || adaptive === null) return;
    const windowMs = ramp.getIntervalMs() / WINDOWS_PER_INTERVAL;
    const samples = this.#adaptiveWindow.getSamples();
    const needed = Math.min(WINDOW_SAMPLES, this.#getLimit());
    if (samples >= needed && this.#adaptiveWindow.getLength(nowMs) >= windowMs) {
      const usage = this.#adaptiveWindow.describe(nowMs);
      // While the ramp is the lower limit it alone decides.
      const binding = adaptive.getLimit() <= ramp.getLimit();
      const change = binding ? adaptive.advance(nowMs, usage, this.#getLimit()) : 'held';
      this.#adaptiveWindow.reset(nowMs, change === 'shrank' ? this.#running.size : 0);
    }
    if (this.#rampWindow.getLength(nowMs) < ramp.getIntervalMs()) return;
    const usage = this.#rampWindow.describe(nowMs, this.#listSlow(nowMs));
    const atStart = ramp.isAtStart();
    const binding = ramp.getLimit() < adaptive.getLimit();
    if (binding && usage.complete) adaptive.observe(nowMs, usage);
    const change = ramp.advance(usage);
    // Without enough samples the interval is extended: it says nothing about the target yet.
    if (change === 'held' && (usage.samples === 0 || !usage.complete)) return;
    this.#paceRatio = usage.paceRatio;
    if (change === 'shrank' && !atStart) {
      adaptive.lower(ramp.getProvenLimit());
      this.#adaptiveWindow.reset(nowMs, this.#running.size);
    }
    const loaded = usage.reachedLimit && !atStart;
    const factor = this.#pace.closeWindow(usage.paceRatio, loaded, usage.errorShare > 0);
    adaptive.scale(factor);
    this.#rampWindow.reset(nowMs, change === 'held' ? 0 : this.#running.size);
  }

  /** Lists the pace so far of requests in progress that are slow already. */
  #listSlow(nowMs: number): number[] {
    const ratios: number[] = [];
    for (const { entry, startedMs } of this.#running.values()) {
      if (startedMs < this.#restartedMs) continue;
      // Where the pace is a step time, the service time is compared with its usual spread.
      const highMs = this.#estimator.estimateHigh(entry.paceClass, entry.cost);
      const usualMs = this.#pace.getWarm(entry.paceClass) ?? highMs;
      const ratio = usualMs > 0 ? (nowMs - startedMs) / usualMs : 0;
      if (ratio > paceLimits.near) ratios.push(ratio);
    }
    return ratios;
  }
}
