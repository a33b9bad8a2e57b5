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
import { ServiceTimeBaseline } from '../ramp/ServiceTimeBaseline.js';
import { Ramp } from '../ramp/Ramp.js';
import { UsageWindow } from '../ramp/UsageWindow.js';
import { serviceTimeLimits } from '../ramp/serviceTimeLimits.js';
import type { AdmissionItem } from './AdmissionItem.js';
import type { AdmissionOutcome } from './AdmissionOutcome.js';
import type { AdmissionSample } from './AdmissionSample.js';
import type { AdmissionState } from './AdmissionState.js';
import type { AdmissionStatus } from './AdmissionStatus.js';
import type { AttemptId } from './AttemptId.js';
import { AttemptCache } from './AttemptCache.js';
import type { Connectivity } from './Connectivity.js';
import type { EngineStatus } from './EngineStatus.js';
import type { LoadReport } from './LoadReport.js';
import { Priority } from './Priority.js';
import type { SubmitResult } from './SubmitResult.js';
import { matchTarget } from './matchTarget.js';

/**
 * `isolation_grace`: time without contact after which a zone is isolated. It equals the bound (I3)
 * within which a zone that was taken out must stop accepting new requests.
 */
const ISOLATION_GRACE_MS = 3000;
/**
 * How long after its deadline an attempt may still be delivered. With the default kernel settings
 * (15 retries) a closed connection retransmits unacknowledged data for up to about 925 s.
 */
const DELIVERY_MARGIN_MS = 960_000;
/** Enough for about 500 non-repeatable attempts a second; about 52 MB when full. */
const ATTEMPT_CACHE_CAPACITY = 500_000;
/** The adaptive limit is updated this many times in a ramp interval. */
const WINDOWS_PER_INTERVAL = 4;
/** Minimum number of samples in an adaptive window, unless the limit is lower. */
const MIN_WINDOW_SAMPLES = 16;
const MAX_RETRY_AFTER_MS = 10_000;
const MIN_RETRY_AFTER_MS = 50;
const STEP_TIME_CLASS = 'step';
/** Weight of a new sample in the smoothed service time. */
const SERVICE_TIME_WEIGHT = 0.1;
/** Least used fraction from which a drop of the prefix cache is considered. */
const MIN_CACHE_USED_FRACTION = 0.1;
/** The cache counts as emptied when at most this fraction of its previous content is left. */
const MAX_CACHE_LEFT_FRACTION = 0.1;

interface AttemptEntry extends QueueEntry {
  readonly item: AdmissionItem;
  readonly timeClass: string;
}

interface RunningAttempt {
  readonly entry: AttemptEntry;
  readonly startedMs: number;
}

function buildId(id: AttemptId): string {
  return `${id.attempt}:${id.requestId}`;
}

/** Requests of one route and one power of two of cost have comparable service times. */
function describeTimeClass(item: AdmissionItem, cost: number): string {
  return `${item.route ?? ''}#${Math.ceil(Math.log2(cost))}`;
}

/**
 * Decides which requests may be dispatched to one target, and when. Entries only see load reports;
 * because every slot is granted here, the limits apply across all entries.
 *
 * There are no timers: call `tick` every 50 to 100 ms, and handle the outcome of every call.
 */
export class TargetAdmission {
  readonly #clock: Clock;

  readonly #target: TargetId;

  #zone: Zone | null = null;

  #versioned: VersionedDocument | null = null;

  #highestRevision = 0;

  #isListed = false;

  #isZoneOut = false;

  #isLeaving = false;

  #connectivity: Connectivity | null = null;

  #engine: EngineStatus | null = null;

  #incarnation: Incarnation;

  readonly #running = new Map<string, RunningAttempt>();

  #runningCost = 0;

  readonly #queue = new FairQueue<AttemptEntry>();

  #queuedPromptTokens = 0;

  readonly #attempts: AttemptCache;

  /** Until when non-repeatable attempts are refused, monotonic ms; see `#cacheRefused`. */
  #nonRepeatableClosedUntilMs = -Infinity;

  readonly #serviceTimes = new ServiceTimeBaseline();

  readonly #estimator = new ServiceTimeEstimator();

  #ramp: Ramp | null = null;

  #adaptive: ConcurrencyLimit | null = null;

  readonly #rampWindow: UsageWindow;

  readonly #adaptiveWindow: UsageWindow;

  /** Last ramp restart, monotonic ms; samples of requests that started before it are ignored. */
  #rampRestartedMs: number;

  #rampRestarts = 0;

  #rampReason = 'agent started';

  #serviceTimeRatio: number | null = null;

  /** Smoothed service time, milliseconds; reported as step time where the engine reports none. */
  #serviceTimeMs = 0;

  #startedCount = 0;

  #finishedCount = 0;

  #duplicateCount = 0;

  readonly #refusedCounts = new Map<ErrorKind, number>();

  /**
   * @param options.target name matched against the document
   * @param options.attemptCapacity most attempt ids retained to detect duplicates
   */
  constructor(options: {
    readonly clock: Clock;
    readonly target: TargetId;
    readonly attemptCapacity?: number;
  }) {
    this.#clock = options.clock;
    this.#target = options.target;
    this.#attempts = new AttemptCache(options.attemptCapacity ?? ATTEMPT_CACHE_CAPACITY);
    const nowMs = this.#clock.getNow();
    this.#incarnation = Incarnation.parse(this.#clock.getWallTime().getTime() * 1000);
    this.#rampWindow = new UsageWindow(nowMs);
    this.#adaptiveWindow = new UsageWindow(nowMs);
    this.#rampRestartedMs = nowMs;
  }

  /** Applies a document; null means that none is known. Older revisions are ignored. */
  setDocument(versioned: VersionedDocument | null): AdmissionOutcome {
    if (versioned !== null) {
      if (versioned.revision < this.#highestRevision) return this.tick();
      this.#highestRevision = versioned.revision;
    }
    this.#versioned = versioned;
    const document = versioned?.document ?? null;
    this.#isListed = document !== null && matchTarget(document.targets, this.#target);
    if (document !== null) this.#applyLimits(document);
    return this.tick();
  }

  setZone(zone: Zone): AdmissionOutcome {
    this.#zone = zone;
    return this.tick();
  }

  /** Refuses all new and queued requests from now on; this cannot be undone. */
  setLeaving(): AdmissionOutcome {
    this.#isLeaving = true;
    return this.tick();
  }

  setConnectivity(connectivity: Connectivity): AdmissionOutcome {
    this.#connectivity = connectivity;
    return this.tick();
  }

  /** Handles a status report of the engine; detects restarts and emptied caches. */
  handleEngineStatus(status: EngineStatus): AdmissionOutcome {
    const previous = this.#engine;
    const nowMs = this.#clock.getNow();
    this.#engine = status;
    if (previous !== null && previous.startedAt !== 0 && previous.startedAt !== status.startedAt) {
      return this.restartIncarnation('engine start time changed');
    }
    if (
      previous !== null &&
      previous.cacheUsed >= MIN_CACHE_USED_FRACTION &&
      status.cacheUsed <= previous.cacheUsed * MAX_CACHE_LEFT_FRACTION
    ) {
      this.#restartRamp(nowMs, 'cache emptied');
    }
    this.#rampWindow.recordWaiting(status.waiting);
    if (status.stepTimeMs > 0) this.#estimator.recordStepTime(status.stepTimeMs);
    if (status.stepTimeMs > 0 && this.#running.size > 0) {
      const ratio = this.#serviceTimes.record(STEP_TIME_CLASS, status.stepTimeMs);
      this.#rampWindow.recordServiceTime(ratio, true);
      this.#adaptiveWindow.recordServiceTime(ratio, true);
      this.#restartRampIfCold(nowMs);
    }
    return this.tick();
  }

  /** Sets the warm step time in milliseconds, such as the median over the service's targets. */
  setWarmStepTime(stepTimeMs: number): void {
    this.#serviceTimes.setWarmMs(STEP_TIME_CLASS, stepTimeMs);
  }

  /**
   * Increases the incarnation and restarts the ramp, after a detected restart of the target. Queued
   * items that expect the old incarnation are refused, because their entries would drop the answer.
   */
  restartIncarnation(reason: string): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const wallUs = this.#clock.getWallTime().getTime() * 1000;
    this.#incarnation = Incarnation.parse(Math.max(this.#incarnation + 1, wallUs));
    this.#restartRamp(nowMs, reason);
    const outcome: AdmissionOutcome = { started: [], refused: [] };
    for (const entry of this.#queue.removeStale(({ item }) => this.#isStale(item))) {
      this.#refuseQueued(nowMs, entry, this.#buildStaleFailure(entry.item), outcome);
    }
    const { started, refused } = this.tick();
    return { started, refused: [...outcome.refused, ...refused] };
  }

  getIncarnation(): Incarnation {
    return this.#incarnation;
  }

  /** Starts, queues or refuses a delivered attempt. */
  submit(item: AdmissionItem): SubmitResult {
    const outcome = this.tick();
    const nowMs = this.#clock.getNow();
    const id = buildId(item);
    // This check comes first: a refusal declares that the attempt did not run, which may be false
    // for an attempt that was delivered before.
    if (this.#running.has(id) || this.#queue.get(id) !== undefined || this.#attempts.has(id)) {
      this.#duplicateCount += 1;
      const message = `attempt ${item.attempt} of request ${item.requestId} was delivered before`;
      return { type: 'duplicate', failure: { kind: 'outcome_unknown', message }, outcome };
    }
    const cost = estimateCost(item);
    const timeClass = describeTimeClass(item, cost);
    const entry: AttemptEntry = {
      id,
      item,
      timeClass,
      cost,
      workspace: item.workspace,
      level: Priority.options.indexOf(item.priority),
      deadlineMs: item.deadlineMs,
      // Uses the high estimate, because a slot that others wait for should go to a request that
      // meets its deadline.
      latestStartMs: item.deadlineMs - this.#estimator.estimateUpperBound(timeClass, cost),
    };
    const failure = this.#checkItem(nowMs, entry);
    if (failure !== null) {
      this.#countRefusal(failure);
      this.#cacheRefused(nowMs, entry);
      return { type: 'refused', failure, outcome };
    }
    if (this.#queue.getSize() === 0 && this.#running.size < this.#getLimit()) {
      this.#start(nowMs, entry);
      return { type: 'start', outcome };
    }
    const queueFailure = this.#enqueue(nowMs, entry, outcome);
    if (queueFailure !== null) {
      this.#countRefusal(queueFailure);
      this.#cacheRefused(nowMs, entry);
      return { type: 'refused', failure: queueFailure, outcome };
    }
    return { type: 'queued', outcome };
  }

  /** Ends a started item and records its measurements; unknown ids are ignored. */
  finish(id: AttemptId, sample: AdmissionSample): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const running = this.#release(nowMs, buildId(id));
    if (running === null) return this.tick();
    this.#finishedCount += 1;
    const { entry, startedMs } = running;
    const isCurrent = startedMs >= this.#rampRestartedMs;
    const isInRampWindow = isCurrent && this.#rampWindow.recordFinish(sample.error);
    const isInAdaptiveWindow = isCurrent && this.#adaptiveWindow.recordFinish(sample.error);
    if (!sample.error) {
      this.#smoothServiceTime(sample.serviceTimeMs);
      this.#estimator.record(entry.timeClass, entry.cost, sample.serviceTimeMs);
      const isStep = sample.stepTimeMs > 0;
      if (isStep) this.#estimator.recordStepTime(sample.stepTimeMs);
      const name = isStep ? STEP_TIME_CLASS : entry.timeClass;
      const ratio = this.#serviceTimes.record(
        name,
        isStep ? sample.stepTimeMs : sample.serviceTimeMs,
      );
      if (isInRampWindow) this.#rampWindow.recordServiceTime(ratio, isStep);
      if (isInAdaptiveWindow) this.#adaptiveWindow.recordServiceTime(ratio, isStep);
      this.#restartRampIfCold(nowMs);
    }
    return this.tick();
  }

  /** Ends a queued or started item without measurements. */
  cancel(id: AttemptId): AdmissionOutcome {
    const nowMs = this.#clock.getNow();
    const key = buildId(id);
    const queued = this.#queue.remove(key);
    if (queued !== null) {
      this.#queuedPromptTokens -= queued.item.promptTokens;
      this.#cacheRefused(nowMs, queued);
    } else this.#release(nowMs, key);
    return this.tick();
  }

  /** Refuses items that are blocked or expired, updates the limits and starts queued items. */
  tick(): AdmissionOutcome {
    const outcome: AdmissionOutcome = { started: [], refused: [] };
    const nowMs = this.#clock.getNow();
    this.#attempts.expire(nowMs);
    const blocked = this.#findBlockingFailure(nowMs);
    const zoneOut = blocked?.kind === 'zone_out';
    // The caches of the targets may have become cold while the zone was out.
    if (this.#isZoneOut && !zoneOut) this.#restartRamp(nowMs, 'zone returned');
    this.#isZoneOut = zoneOut;
    if (blocked !== null) {
      for (const entry of this.#queue.drain()) this.#refuseQueued(nowMs, entry, blocked, outcome);
    } else {
      for (const entry of this.#queue.removeExpired(nowMs)) {
        this.#refuseQueued(nowMs, entry, this.#buildDeadlineFailure(nowMs, entry), outcome);
      }
    }
    this.#advanceLimits(nowMs);
    while (this.#queue.getSize() > 0 && this.#running.size < this.#getLimit()) {
      const entry = this.#queue.dequeue();
      if (entry === null) break;
      this.#queuedPromptTokens -= entry.item.promptTokens;
      this.#start(nowMs, entry);
      outcome.started.push(entry.item);
    }
    this.#updateUsage(nowMs);
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

  /** Returns the status for logs, metrics and the status page. */
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
      serviceTimeRatio: this.#serviceTimeRatio,
      started: this.#startedCount,
      finished: this.#finishedCount,
      duplicates: this.#duplicateCount,
      refused: this.#refusedCounts,
      cachedAttempts: this.#attempts.getSize(),
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
    const connectivity = this.#connectivity;
    if (connectivity === null) {
      const zones = this.#getDocument()?.zones;
      return zones !== undefined && zones.in.length + zones.out.length > 1;
    }
    if (connectivity.zoneCount <= 1) return false;
    const contactMs = Math.max(connectivity.storeConfirmedMs, connectivity.outsideZoneHeardMs);
    return nowMs - contactMs >= ISOLATION_GRACE_MS;
  }

  /** Returns why new requests are refused, or null; the design page defines the order of checks. */
  #findBlockingFailure(nowMs: number): Failure | null {
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
      return { kind: 'zone_out', message: `zone ${this.#zone} was taken out of service ${name}` };
    }
    if (!this.#isListed) {
      return {
        kind: 'leaving',
        message: `target ${this.#target} is not listed in service ${name}`,
      };
    }
    if (this.#isLeaving) return { kind: 'leaving', message: `target ${this.#target} is leaving` };
    return null;
  }

  #getState(nowMs: number): AdmissionState {
    const kind = this.#findBlockingFailure(nowMs)?.kind;
    if (kind === undefined) return 'serving';
    if (kind === 'not_ready' || kind === 'isolated' || kind === 'zone_out') return kind;
    return 'leaving';
  }

  /** Runs all checks except the limits, in the order of the design page. */
  #checkItem(nowMs: number, entry: AttemptEntry): Failure | null {
    const blocked = this.#findBlockingFailure(nowMs);
    if (blocked !== null) return blocked;
    const { item } = entry;
    if (this.#isStale(item)) return this.#buildStaleFailure(item);
    // An idle target ignores the estimate: if it refused requests because of a wrong one, no new
    // samples would ever correct it.
    const isIdle = this.#running.size === 0;
    const serviceMs = isIdle ? 0 : this.#estimator.estimate(entry.timeClass, entry.cost);
    if (entry.deadlineMs - serviceMs <= nowMs) return this.#buildDeadlineFailure(nowMs, entry);
    const isClosed = nowMs < this.#nonRepeatableClosedUntilMs || this.#attempts.isFull();
    if (item.repeatable !== true && isClosed) {
      const message = 'the cache of delivered attempts is full';
      return { kind: 'overloaded', message, retryAfterMs: MAX_RETRY_AFTER_MS };
    }
    return null;
  }

  #isStale(item: AdmissionItem): boolean {
    const expected = item.incarnation ?? 0;
    return expected !== 0 && expected !== this.#incarnation;
  }

  #buildStaleFailure(item: AdmissionItem): Failure {
    const message = `the target has incarnation ${this.#incarnation}, not ${item.incarnation ?? 0}`;
    return { kind: 'stale_incarnation', message };
  }

  #smoothServiceTime(timeMs: number): void {
    const weight = this.#serviceTimeMs === 0 ? 1 : SERVICE_TIME_WEIGHT;
    this.#serviceTimeMs += weight * (timeMs - this.#serviceTimeMs);
  }

  #buildDeadlineFailure(nowMs: number, entry: AttemptEntry): Failure {
    const leftMs = Math.max(0, Math.round(entry.deadlineMs - nowMs));
    const estimateMs = Math.round(entry.deadlineMs - entry.latestStartMs);
    return {
      kind: 'deadline_exceeded',
      message: `${leftMs} ms are left, but the request takes about ${estimateMs} ms`,
    };
  }

  /** Queues an entry, or returns why it is refused. */
  #enqueue(nowMs: number, entry: AttemptEntry, outcome: AdmissionOutcome): Failure | null {
    const waitMs = this.#estimateWait(this.#queue.estimateCostAhead(entry));
    // Uses the mean, not the high estimate, because the wait is rough; `tick` refuses later what
    // expires.
    const serviceMs = this.#estimator.estimate(entry.timeClass, entry.cost);
    if (nowMs + waitMs + serviceMs > entry.deadlineMs) {
      return this.#buildQueueFailure(
        `the wait of about ${Math.round(waitMs)} ms exceeds the deadline`,
      );
    }
    if (this.#queue.getSize() >= this.#getQueueLimit()) {
      const evicted = this.#queue.evictFor(entry);
      if (evicted === null) return this.#buildQueueFailure('the queue is full');
      const failure = this.#buildQueueFailure(
        'the queue is full; another request takes precedence',
      );
      this.#refuseQueued(nowMs, evicted, failure, outcome);
    }
    this.#queue.enqueue(entry);
    this.#queuedPromptTokens += entry.item.promptTokens;
    return null;
  }

  #buildQueueFailure(message: string): Failure {
    const waitMs = this.#estimateWait(this.#queue.getCost());
    const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
    const kind = this.#ramp?.isFull() === true ? 'overloaded' : 'target_cold';
    return { kind, message, retryAfterMs: Math.round(retryAfterMs) };
  }

  /** Returns the queue size; it shrinks in proportion to the current limit. */
  #getQueueLimit(): number {
    const limits = this.#getDocument()?.limits;
    if (limits === undefined) return 0;
    return Math.ceil((limits.queue * this.#getLimit()) / limits.maxInFlight);
  }

  /** Estimates how long the current slots take to process a cost, milliseconds. */
  #estimateWait(cost: number): number {
    return (cost * this.#estimator.getTimePerCost()) / Math.max(1, this.#getLimit());
  }

  #start(nowMs: number, entry: AttemptEntry): void {
    this.#running.set(entry.id, { entry, startedMs: nowMs });
    this.#runningCost += entry.cost;
    this.#startedCount += 1;
    this.#updateUsage(nowMs);
  }

  #release(nowMs: number, id: string): RunningAttempt | null {
    const running = this.#running.get(id);
    if (running === undefined) return null;
    this.#running.delete(id);
    this.#runningCost = this.#running.size === 0 ? 0 : this.#runningCost - running.entry.cost;
    this.#cacheAttempt(nowMs, running.entry);
    this.#updateUsage(nowMs);
    return running;
  }

  #updateUsage(nowMs: number): void {
    const limit = this.#getLimit();
    this.#rampWindow.recordInFlight(nowMs, this.#running.size, limit);
    this.#adaptiveWindow.recordInFlight(nowMs, this.#running.size, limit);
  }

  #refuseQueued(
    nowMs: number,
    entry: AttemptEntry,
    failure: Failure,
    outcome: AdmissionOutcome,
  ): void {
    this.#queuedPromptTokens -= entry.item.promptTokens;
    this.#countRefusal(failure);
    this.#cacheRefused(nowMs, entry);
    outcome.refused.push({ item: entry.item, failure });
  }

  #countRefusal(failure: Failure): void {
    this.#refusedCounts.set(failure.kind, (this.#refusedCounts.get(failure.kind) ?? 0) + 1);
  }

  #cacheAttempt(nowMs: number, entry: AttemptEntry): void {
    if (entry.item.repeatable === true) {
      if (!this.#attempts.isFull()) this.#attempts.add(entry.id, entry.deadlineMs);
      return;
    }
    this.#attempts.add(entry.id, Math.max(nowMs, entry.deadlineMs) + DELIVERY_MARGIN_MS);
  }

  /**
   * Caches a refused attempt, because a second delivery must not run what was declared not run. If
   * the cache is full, all non-repeatable attempts are refused for as long as a second delivery is
   * possible.
   */
  #cacheRefused(nowMs: number, entry: AttemptEntry): void {
    if (entry.item.repeatable === true) return;
    if (this.#attempts.isFull()) {
      const expiresMs = Math.max(nowMs, entry.deadlineMs) + DELIVERY_MARGIN_MS;
      this.#nonRepeatableClosedUntilMs = Math.max(this.#nonRepeatableClosedUntilMs, expiresMs);
    } else this.#cacheAttempt(nowMs, entry);
  }

  #restartRampIfCold(nowMs: number): void {
    const ramp = this.#ramp;
    if (ramp === null || ramp.isAtStart()) return;
    const expectedRatio = this.#adaptive?.getExpectedRatio(this.#running.size) ?? 1;
    if (this.#serviceTimes.isCold(Math.max(expectedRatio, ramp.getLastGoodRatio()))) {
      this.#restartRamp(nowMs, 'service times several times the warm value');
    }
  }

  #restartRamp(nowMs: number, reason: string): void {
    this.#ramp?.restart();
    this.#adaptive?.reset();
    this.#serviceTimes.clearRecent();
    this.#estimator.clear();
    this.#rampWindow.reset(nowMs);
    this.#adaptiveWindow.reset(nowMs);
    this.#rampRestartedMs = nowMs;
    this.#rampRestarts += 1;
    this.#rampReason = reason;
    this.#updateUsage(nowMs);
  }

  #advanceLimits(nowMs: number): void {
    const ramp = this.#ramp;
    const adaptive = this.#adaptive;
    if (ramp === null || adaptive === null) return;
    const windowMs = ramp.getIntervalMs() / WINDOWS_PER_INTERVAL;
    const samples = this.#adaptiveWindow.countSamples();
    const needed = Math.min(MIN_WINDOW_SAMPLES, this.#getLimit());
    if (samples >= needed && this.#adaptiveWindow.getLengthMs(nowMs) >= windowMs) {
      const usage = this.#adaptiveWindow.computeSummary(nowMs);
      // While the ramp is the lower limit, only the ramp is advanced.
      const isBinding = adaptive.getLimit() <= ramp.getLimit();
      const change = isBinding ? adaptive.advance(nowMs, usage, this.#getLimit()) : 'held';
      this.#adaptiveWindow.reset(nowMs, change === 'shrank' ? this.#running.size : 0);
    }
    if (this.#rampWindow.getLengthMs(nowMs) < ramp.getIntervalMs()) return;
    const usage = this.#rampWindow.computeSummary(nowMs, this.#listSlowRatios(nowMs));
    const isAtStart = ramp.isAtStart();
    const isBinding = ramp.getLimit() < adaptive.getLimit();
    if (isBinding && usage.isRepresentative) adaptive.observe(nowMs, usage);
    const change = ramp.advance(usage);
    // Without enough samples to judge the target, the interval is extended.
    if (change === 'held' && (usage.samples === 0 || !usage.isRepresentative)) return;
    this.#serviceTimeRatio = usage.serviceTimeRatio;
    if (change === 'shrank' && !isAtStart) {
      adaptive.lower(ramp.getLastGoodLimit());
      this.#adaptiveWindow.reset(nowMs, this.#running.size);
    }
    const isLoaded = usage.hasReachedLimit && !isAtStart;
    const factor = this.#serviceTimes.closeWindow(
      usage.serviceTimeRatio,
      isLoaded,
      usage.errorShare > 0,
    );
    adaptive.scale(factor);
    this.#rampWindow.reset(nowMs, change === 'held' ? 0 : this.#running.size);
  }

  /** Lists the service-time ratios of requests in progress that are already slow. */
  #listSlowRatios(nowMs: number): number[] {
    const ratios: number[] = [];
    for (const { entry, startedMs } of this.#running.values()) {
      if (startedMs < this.#rampRestartedMs) continue;
      // A class measured by step times has no warm service time; the high estimate replaces it.
      const highEstimateMs = this.#estimator.estimateUpperBound(entry.timeClass, entry.cost);
      const expectedMs = this.#serviceTimes.getWarmMs(entry.timeClass) ?? highEstimateMs;
      const ratio = expectedMs > 0 ? (nowMs - startedMs) / expectedMs : 0;
      if (ratio > serviceTimeLimits.near) ratios.push(ratio);
    }
    return ratios;
  }
}
