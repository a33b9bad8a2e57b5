import type { AdmissionState } from '../admission/AdmissionState.js';
import type { LoadReport } from '../admission/LoadReport.js';
import type { ErrorKind } from '../errors/ErrorKind.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { TargetId } from '../ids/TargetId.js';
import type { Zone } from '../ids/Zone.js';
import type { RandomSource } from '../random/RandomSource.js';
import type { GroupLoad } from './GroupLoad.js';
import type { RequestCost } from './RequestCost.js';
import type { RouterSettings } from './RouterSettings.js';
import { CircuitBreaker } from './CircuitBreaker.js';
import { PrefixHints } from './PrefixHints.js';

/**
 * Time for which a reported state keeps new work away. After it, one request asks again, because a
 * target that gets no work sends no reports. A target that leaves normally vanishes from the instance
 * list instead, so it is asked less often.
 */
const HOLD_MS: Readonly<Record<AdmissionState, number>> = {
  serving: 0,
  not_ready: 3000,
  isolated: 3000,
  zone_out: 3000,
  leaving: 10_000,
};

/** Lower bound of a granted limit in estimates, so that the growth has something to begin with. */
const LEAST_LIMIT = 0.5;

interface Send {
  readonly atMs: number;
  readonly tokens: number;
}

/** What an entry knows about one target: its last report, own sends since then, and failures. */
export class TargetView {
  readonly id: TargetId;

  readonly breaker: CircuitBreaker;

  readonly hints: PrefixHints;

  zone: Zone;

  report: LoadReport | null = null;

  /** Kind of the last failure: of the target itself, or of the path to it. */
  lastFailure: ErrorKind | null = null;

  /** Own attempts that have not finished. */
  ownInFlight = 0;

  #reportAtMs = -Infinity;

  /** When the limit was last known: by a report, or by the assumption that the target is cold. */
  #limitAtMs = -Infinity;

  /** Whether a target without a report has just started; else it is taken to be like its peers. */
  #isCold = false;

  #heldUntilMs = -Infinity;

  /** Sends that the last report may not contain, oldest first. */
  #unreported: Send[] = [];

  #lastFrameMs = -Infinity;

  /** Send since which there has always been an attempt in progress. */
  #busySinceMs = -Infinity;

  readonly #settings: RouterSettings;

  constructor(id: TargetId, zone: Zone, settings: RouterSettings, random: RandomSource) {
    this.id = id;
    this.zone = zone;
    this.#settings = settings;
    this.breaker = new CircuitBreaker(settings, random);
    this.hints = new PrefixHints(settings.hintsPerTarget);
  }

  /** @returns whether the report is from the present incarnation or a newer one, and was taken */
  acceptReport(report: LoadReport, nowMs: number): boolean {
    if (this.report !== null && report.incarnation < this.report.incarnation) return false;
    this.report = report;
    this.#reportAtMs = nowMs;
    this.#limitAtMs = nowMs;
    this.#heldUntilMs = nowMs + HOLD_MS[report.state];
    const shownMs = nowMs - this.#settings.reportLagMs;
    while (this.#unreported[0] !== undefined && this.#unreported[0].atMs <= shownMs) {
      this.#unreported.shift();
    }
    this.recordFrame(nowMs);
    return true;
  }

  /** Forgets the load, for a target that comes back after an absence and is probably cold. */
  markCold(nowMs: number): void {
    this.#isCold = true;
    this.#limitAtMs = nowMs;
    if (this.report !== null) this.report = { ...this.report, limit: 1, state: 'serving' };
    this.#reportAtMs = -Infinity;
    this.#heldUntilMs = -Infinity;
  }

  recordFrame(nowMs: number): void {
    this.#lastFrameMs = nowMs;
  }

  recordSend(cost: RequestCost, nowMs: number): void {
    if (this.ownInFlight === 0) this.#busySinceMs = nowMs;
    this.ownInFlight += 1;
    this.#unreported.push({ atMs: nowMs, tokens: cost.promptTokens + cost.maxTokens / 2 });
  }

  recordFinish(): void {
    this.ownInFlight = Math.max(0, this.ownInFlight - 1);
    // Without reports, for example while every attempt fails, the list would grow without end.
    if (this.#unreported.length > this.ownInFlight) this.#unreported.shift();
  }

  getIncarnation(): Incarnation {
    return this.report?.incarnation ?? (0 as Incarnation);
  }

  /** Whether the last report says that the target takes no new work. */
  isHeld(nowMs: number): boolean {
    return nowMs < this.#heldUntilMs;
  }

  /** Keeps new work away for a time, or until the next report. */
  withdraw(nowMs: number, durationMs: number): void {
    this.#heldUntilMs = Math.max(this.#heldUntilMs, nowMs + durationMs);
  }

  /** Ends the hold, after news from the instance list or the document. */
  releaseHold(): void {
    this.#heldUntilMs = -Infinity;
  }

  /** Whether work is in progress there but no frame has arrived for too long. */
  isSuspect(nowMs: number): boolean {
    if (this.ownInFlight === 0) return false;
    const sinceMs = Math.max(this.#lastFrameMs, this.#busySinceMs);
    return nowMs - sinceMs > this.#settings.suspectMs;
  }

  /** Returns the weight of the last report against the mean of the peers, 1 when new. */
  getReportWeight(nowMs: number): number {
    if (this.report === null) return 0;
    return Math.exp((this.#reportAtMs - nowMs) / this.#settings.reportDecayMs);
  }

  /**
   * Estimates the granted concurrency. A limit below the mean of the service is taken to grow since
   * its report as a ramp does: without that, a target whose last report was from the start of its
   * ramp would get no work and so never send a newer report.
   */
  estimateLimit(nowMs: number, load: GroupLoad): number {
    if (this.report === null && !this.#isCold) return Math.max(1, load.serviceLimit);
    const limit = this.report === null ? 1 : this.report.limit;
    if (limit >= load.serviceLimit) return limit;
    const { rampGrowth, rampIntervalMs } = this.#settings;
    const growth = rampGrowth ** ((nowMs - this.#limitAtMs) / rampIntervalMs);
    return Math.min(load.serviceLimit, Math.max(LEAST_LIMIT, limit) * growth);
  }

  /** Estimates the requests in flight and queued, from the report and the sends since. */
  estimateInFlight(nowMs: number, load: GroupLoad): number {
    const weight = this.getReportWeight(nowMs);
    const reported = this.report === null ? 0 : this.report.inFlight + this.report.queued;
    const usual = load.meanUse * this.estimateLimit(nowMs, load);
    return Math.max(
      this.ownInFlight,
      weight * reported + (1 - weight) * usual + this.#unreported.length,
    );
  }

  /** Estimates the tokens of work, from the report and the sends since. */
  estimateTokens(nowMs: number, load: GroupLoad): number {
    const weight = this.getReportWeight(nowMs);
    const usual = load.tokensPerSlot * this.estimateLimit(nowMs, load);
    let tokens = weight * this.getReportedTokens(nowMs) + (1 - weight) * usual;
    for (const send of this.#unreported) tokens += send.tokens;
    return tokens;
  }

  /**
   * Returns the tokens of work of the last report. Queued prompt tokens that the engine has computed
   * since then count as running context: reports are often older than the queue they describe.
   */
  getReportedTokens(nowMs: number): number {
    if (this.report === null) return 0;
    const { tokensInFlight, queuedPromptTokens } = this.report;
    const queued = this.getQueuedPromptTokens(nowMs);
    return tokensInFlight + queuedPromptTokens + (this.#settings.queuedPromptWeight - 1) * queued;
  }

  /** Returns the reported prompt tokens that still wait, less what was computed since the report. */
  getQueuedPromptTokens(nowMs: number): number {
    if (this.report === null) return 0;
    const computed = (nowMs - this.#reportAtMs) / this.#settings.prefillMsPerToken;
    return Math.max(0, this.report.queuedPromptTokens - computed);
  }

  /** Returns the reported wait in the queue. It fades, so that a refused target is tried again. */
  getQueueDelayMs(nowMs: number): number {
    return (this.report?.queueDelayMs ?? 0) * this.getReportWeight(nowMs);
  }
}
