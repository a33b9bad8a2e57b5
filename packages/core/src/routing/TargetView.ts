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
 * Time for which a reported state excludes a target from new work, milliseconds. Then one request
 * probes the target, because a target without work sends no reports. A target that is leaving is
 * normally removed from the instance list before that, so it is probed less often.
 */
const EXCLUSION_MS: Readonly<Record<AdmissionState, number>> = {
  serving: 0,
  not_ready: 3000,
  isolated: 3000,
  zone_out: 3000,
  leaving: 10_000,
};

/** Minimum granted limit in estimates, in requests; growth from 0 would stay at 0. */
const MIN_LIMIT_ESTIMATE = 0.5;

interface UnreportedSend {
  readonly atMs: number;
  readonly tokens: number;
}

/**
 * State of one target at an entry: its last load report, the entry's requests since, and failures.
 */
export class TargetView {
  readonly id: TargetId;

  readonly breaker: CircuitBreaker;

  readonly hints: PrefixHints;

  zone: Zone;

  report: LoadReport | null = null;

  /** Kind of the last failure of the target or the path to it. */
  lastFailure: ErrorKind | null = null;

  /** Attempts of this entry that have not finished. */
  ownInFlight = 0;

  #reportAtMs = -Infinity;

  /**
   * Time of the last known limit: from a report, or from the assumption that the target is cold.
   */
  #limitKnownAtMs = -Infinity;

  /**
   * Whether a target without a report has just started; otherwise its limit is assumed equal to the
   * peers' mean.
   */
  #isCold = false;

  #excludedUntilMs = -Infinity;

  /** Requests that the last report may not include, oldest first. */
  #unreported: UnreportedSend[] = [];

  #lastFrameMs = -Infinity;

  /** Time since which at least one attempt has been in progress. */
  #busySinceMs = -Infinity;

  readonly #settings: RouterSettings;

  constructor(id: TargetId, zone: Zone, settings: RouterSettings, random: RandomSource) {
    this.id = id;
    this.zone = zone;
    this.#settings = settings;
    this.breaker = new CircuitBreaker(settings, random);
    this.hints = new PrefixHints(settings.hintsPerTarget);
  }

  /** @returns whether the report was applied; false for a report of an older incarnation */
  handleReport(report: LoadReport, nowMs: number): boolean {
    if (this.report !== null && report.incarnation < this.report.incarnation) return false;
    this.report = report;
    this.#reportAtMs = nowMs;
    this.#limitKnownAtMs = nowMs;
    this.#excludedUntilMs = nowMs + EXCLUSION_MS[report.state];
    const reportedUntilMs = nowMs - this.#settings.reportLagMs;
    while (this.#unreported[0] !== undefined && this.#unreported[0].atMs <= reportedUntilMs) {
      this.#unreported.shift();
    }
    this.recordFrame(nowMs);
    return true;
  }

  /** Resets the load, for a target that is available again after an absence and probably cold. */
  markCold(nowMs: number): void {
    this.#isCold = true;
    this.#limitKnownAtMs = nowMs;
    if (this.report !== null) this.report = { ...this.report, limit: 1, state: 'serving' };
    this.#reportAtMs = -Infinity;
    this.#excludedUntilMs = -Infinity;
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
    // Without reports, for example while every attempt fails, the list would grow without bound.
    if (this.#unreported.length > this.ownInFlight) this.#unreported.shift();
  }

  getIncarnation(): Incarnation {
    return this.report?.incarnation ?? (0 as Incarnation);
  }

  /** Returns whether the target is excluded from new work, by its last report or `exclude`. */
  isHeld(nowMs: number): boolean {
    return nowMs < this.#excludedUntilMs;
  }

  /** Excludes the target from new work for a time, or until its next report. */
  exclude(nowMs: number, durationMs: number): void {
    this.#excludedUntilMs = Math.max(this.#excludedUntilMs, nowMs + durationMs);
  }

  /** Ends the exclusion, after a change in the instance list or the document. */
  clearExclusion(): void {
    this.#excludedUntilMs = -Infinity;
  }

  /** Returns whether work is in progress but no frame has arrived for `suspectMs`. */
  isStalled(nowMs: number): boolean {
    if (this.ownInFlight === 0) return false;
    const sinceMs = Math.max(this.#lastFrameMs, this.#busySinceMs);
    return nowMs - sinceMs > this.#settings.suspectMs;
  }

  /**
   * Returns the weight of the last report relative to the mean of the peers; 1 for a new report.
   */
  getReportWeight(nowMs: number): number {
    if (this.report === null) return 0;
    return Math.exp((this.#reportAtMs - nowMs) / this.#settings.reportDecayMs);
  }

  /**
   * Estimates the granted concurrency. A limit below the service's mean is assumed to have grown by
   * the ramp since its report. Otherwise a target whose last report is from the start of its ramp
   * would get no work and therefore never send a newer report.
   */
  estimateLimit(nowMs: number, load: GroupLoad): number {
    if (this.report === null && !this.#isCold) return Math.max(1, load.serviceLimit);
    const limit = this.report === null ? 1 : this.report.limit;
    if (limit >= load.serviceLimit) return limit;
    const { rampGrowth, rampIntervalMs } = this.#settings;
    const growth = rampGrowth ** ((nowMs - this.#limitKnownAtMs) / rampIntervalMs);
    return Math.min(load.serviceLimit, Math.max(MIN_LIMIT_ESTIMATE, limit) * growth);
  }

  /**
   * Estimates the requests in flight and queued, from the last report and the requests sent since.
   */
  estimateInFlight(nowMs: number, load: GroupLoad): number {
    const weight = this.getReportWeight(nowMs);
    const reported = this.report === null ? 0 : this.report.inFlight + this.report.queued;
    const peerMean = load.meanUtilization * this.estimateLimit(nowMs, load);
    return Math.max(
      this.ownInFlight,
      weight * reported + (1 - weight) * peerMean + this.#unreported.length,
    );
  }

  /** Estimates the tokens of work, from the last report and the requests sent since. */
  estimateTokens(nowMs: number, load: GroupLoad): number {
    const weight = this.getReportWeight(nowMs);
    const peerMean = load.tokensPerSlot * this.estimateLimit(nowMs, load);
    let tokens = weight * this.getReportedTokens(nowMs) + (1 - weight) * peerMean;
    for (const send of this.#unreported) tokens += send.tokens;
    return tokens;
  }

  /**
   * Returns the tokens of work in the last report. Queued prompt tokens that the engine should have
   * prefilled since then count as running context, because the described queue has often been
   * processed before the next report arrives.
   */
  getReportedTokens(nowMs: number): number {
    if (this.report === null) return 0;
    const { tokensInFlight, queuedPromptTokens } = this.report;
    const queued = this.getQueuedPromptTokens(nowMs);
    return tokensInFlight + queuedPromptTokens + (this.#settings.queuedPromptWeight - 1) * queued;
  }

  /**
   * Returns the reported queued prompt tokens, less those presumably prefilled since the report.
   */
  getQueuedPromptTokens(nowMs: number): number {
    if (this.report === null) return 0;
    const computed = (nowMs - this.#reportAtMs) / this.#settings.prefillMsPerToken;
    return Math.max(0, this.report.queuedPromptTokens - computed);
  }

  /**
   * Returns the reported queue delay, decayed with the report's age so that the target is retried.
   */
  getQueueDelayMs(nowMs: number): number {
    return (this.report?.queueDelayMs ?? 0) * this.getReportWeight(nowMs);
  }
}
