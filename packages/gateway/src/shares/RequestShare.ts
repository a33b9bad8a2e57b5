import {
  computeWork,
  isSuccessStatus,
  type Clock,
  type DirectRoute,
  type EngineModel,
  type KvUse,
  type UnavailableReason,
  type WaitingShare,
  type WorkEstimate,
  type WorkEstimator,
} from '@limpetbay/core';
import type { AttemptResult } from '../request/AttemptResult.js';
import type { SharePool } from './SharePool.js';
import type { ShareReport } from './ShareReport.js';

interface RequestShareOptions {
  readonly clock: Clock;
  readonly route: DirectRoute;
  readonly engine: EngineModel | null;
  readonly estimator: WorkEstimator;
  readonly estimate: WorkEstimate;
  readonly pool: SharePool;
  /** KV memory in use at the ranks of the service. */
  readonly kvUse: KvUse;
  /** Whether the caller resumes a broken stream, of which the events are only a part. */
  readonly isResumed: boolean;
  readonly report: ShareReport;
}

interface QueueableRequest {
  readonly startSlackMs: number;
  readonly tryStart: () => boolean;
  readonly expire: () => void;
}

/**
 * Part of the time for a start on time in which a request above its share leaves free slots to
 * others. The rest must contain an attempt of the queue, which tries at intervals.
 */
const YIELD_SLACK_FRACTION = 0.6;

/** Counts one request against the share of its workspace while it waits and runs. */
export class RequestShare {
  readonly #options: RequestShareOptions;

  /** When the present wait began, monotonic milliseconds; null if it does not wait. */
  #waitingSinceMs: number | null = null;

  /** Target of the running attempt, which is recorded in the usage; null without one. */
  #chargedTarget: string | null = null;

  #attempts = 0;

  /** Whether a rank had no KV memory for this request. */
  #hasFoundFull = false;

  /** Whether the last wait began without an attempt to start. */
  #isHeld = false;

  /** Returns whether a rank with that many requests has KV memory for this one. */
  readonly hasKvSpace = (targetId: string, occupancy: number): boolean => {
    const { engine, estimate, kvUse } = this.#options;
    if (engine === null) return true;
    const hasSpace = kvUse.hasSpace(targetId, occupancy, estimate.kvTokens, engine.kvCapacity);
    if (!hasSpace && !this.#hasFoundFull) {
      this.#hasFoundFull = true;
      this.#options.report.reportKvFull();
    }
    return hasSpace;
  };

  constructor(options: RequestShareOptions) {
    this.#options = options;
  }

  /**
   * Returns whether a new request queues without an attempt to start, because its workspace exceeds
   * its share and slots are scarce.
   */
  shouldQueue(startSlackMs: number): boolean {
    const { clock, route, estimate, pool } = this.#options;
    const isScarce = clock.getNow() - pool.scarceMs < startSlackMs;
    this.#isHeld =
      isScarce &&
      route.kind === 'stream' &&
      this.#attempts === 0 &&
      pool.shares.getExcess(estimate.workspace) > 0;
    return this.#isHeld;
  }

  /** Returns whether a rank had no KV memory for this request, but may have some for smaller ones. */
  hasFoundKvFull(): boolean {
    return this.#hasFoundFull;
  }

  /** Begins the wait of a request. @returns the request to enqueue */
  createWait<T extends QueueableRequest>(
    request: T,
    reason: UnavailableReason,
  ): T & { readonly share: WaitingShare } {
    const { clock, estimate, pool, report } = this.#options;
    const { workspace, workMs } = estimate;
    const sinceMs = clock.getNow();
    const isScarce = reason === 'overloaded' || reason === 'target_limited';
    if (isScarce && !this.#isHeld) pool.scarceMs = sinceMs;
    this.endWait('left');
    this.#waitingSinceMs = sinceMs;
    pool.shares.addWaiting(workspace, workMs);
    report.reportWait(pool, workspace);
    const yieldUntilMs = sinceMs + YIELD_SLACK_FRACTION * request.startSlackMs;
    return {
      ...request,
      tryStart: () => {
        const hasStarted = request.tryStart();
        if (hasStarted) this.endWait('started');
        return hasStarted;
      },
      expire: () => {
        this.endWait('refused');
        request.expire();
      },
      share: {
        key: `${pool.service} ${pool.priority} ${workspace}`,
        workMs,
        getExcess: (workAheadMs) => pool.shares.getExcess(workspace, workAheadMs),
        isYielding: () =>
          this.#waitingSinceMs !== null &&
          clock.getNow() < yieldUntilMs &&
          pool.shares.getExcess(workspace) > 0,
      },
    };
  }

  /** Ends the wait; does nothing if the request does not wait. */
  endWait(how: 'started' | 'refused' | 'left'): void {
    if (this.#waitingSinceMs === null) return;
    const { clock, estimate, pool, report } = this.#options;
    const waitMs = clock.getNow() - this.#waitingSinceMs;
    this.#waitingSinceMs = null;
    pool.shares.removeWaiting(estimate.workspace, estimate.workMs);
    report.reportWaitEnd(pool, estimate.workspace, waitMs, how);
  }

  /** Records an attempt that is sent. */
  recordStart(targetId: string): void {
    const { estimate, pool, kvUse } = this.#options;
    this.#attempts += 1;
    this.#chargedTarget = targetId;
    pool.shares.recordStart(estimate.workspace, estimate.workMs);
    kvUse.recordSent(targetId, estimate.kvTokens);
  }

  /** Records that the running attempt was cancelled; its estimated work remains counted. */
  recordCancel(): void {
    if (this.#chargedTarget === null) return;
    const { estimate, kvUse } = this.#options;
    kvUse.recordEnd(this.#chargedTarget, estimate.kvTokens);
    this.#chargedTarget = null;
  }

  /** Replaces the estimated work of an attempt by what its end shows. */
  recordResult(result: AttemptResult): void {
    if (this.#chargedTarget === null) return;
    this.recordCancel();
    const { route, engine, estimator, estimate, pool, isResumed, report } = this.#options;
    const { workspace, workMs, promptTokens } = estimate;
    const hasNotRun =
      result.kind === 'failed' &&
      (result.outcome === 'rejected' || result.outcome === 'unreachable');
    if (hasNotRun) {
      pool.shares.cancelStart(workspace, workMs);
      return;
    }
    // Other answers do not show how many tokens they have.
    if (engine === null || route.kind !== 'stream') return;
    const events = result.trace.events ?? 0;
    const actual = computeWork(promptTokens, events * engine.stride, engine);
    pool.shares.adjustUsage(workspace, actual.workMs - workMs);
    if (result.kind !== 'answered' || !isSuccessStatus(result.head.status)) return;
    if (isResumed || this.#attempts > 1) return;
    report.reportWork(workMs, actual.workMs);
    estimator.recordAnswer(estimate, events, engine);
  }
}
