import type { Clock, WorkEstimate } from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { SharePool } from './SharePool.js';

interface ShareReportOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly listPools: () => Iterable<SharePool>;
}

/** Workspaces with a label of their own; more would make the number of metrics grow. */
const NAMED_RANKS = 3;

/** Least time between two log lines about workspaces that exceed their share. */
const EXCESS_LOG_INTERVAL_MS = 10_000;

/** Metrics and log lines about the work of requests and the shares of workspaces. */
export class ShareReport {
  readonly #options: ShareReportOptions;

  readonly #loggedFields = new Set<string>();

  #excessLogMs = -Infinity;

  constructor(options: ShareReportOptions) {
    this.#options = options;
    for (let rank = 1; rank <= NAMED_RANKS; rank += 1) {
      options.metrics.register(`limpetbay_workspace_excess{rank="${rank}"}`, () =>
        this.#readExcess(rank),
      );
    }
  }

  reportEstimate(id: string, { workspace, invalid }: WorkEstimate): void {
    const { log, metrics } = this.#options;
    for (const field of invalid) {
      metrics.increase(`limpetbay_request_sizes_invalid_total{field="${field}"}`);
      if (this.#loggedFields.has(field)) continue;
      this.#loggedFields.add(field);
      log.warn('size of a request is out of range; it is limited or ignored', {
        id,
        workspace,
        field,
        next: 'later ones are counted only',
      });
    }
  }

  reportWork(estimatedMs: number, actualMs: number): void {
    const { metrics } = this.#options;
    metrics.increase('limpetbay_estimated_work_ms_total', estimatedMs);
    metrics.increase('limpetbay_actual_work_ms_total', actualMs);
  }

  /** Counts a request for which a rank had no KV memory. */
  reportKvFull(): void {
    this.#options.metrics.increase('limpetbay_kv_full_requests_total');
  }

  /** Logs, at intervals, that a request waits whose workspace exceeds its share. */
  reportWait({ service, priority, shares }: SharePool, workspace: string): void {
    const { clock, log } = this.#options;
    const nowMs = clock.getNow();
    const excess = shares.getExcess(workspace);
    if (excess === 0 || nowMs - this.#excessLogMs < EXCESS_LOG_INTERVAL_MS) return;
    this.#excessLogMs = nowMs;
    log.report('workspace exceeds its share; its requests wait behind those of others', {
      service,
      priority,
      workspace,
      excess: Number(excess.toFixed(2)),
      shareMs: Math.round(shares.getShareMs()),
      waiting: shares.countWaiting(),
    });
  }

  reportWaitEnd({ shares }: SharePool, workspace: string, waitMs: number, how: string): void {
    const { metrics } = this.#options;
    const rank = shares.rankByUsage(workspace);
    const label = rank <= NAMED_RANKS ? String(rank) : 'other';
    metrics.increase(`limpetbay_workspace_waits_total{rank="${label}",end="${how}"}`);
    metrics.increase(`limpetbay_workspace_wait_ms_total{rank="${label}"}`, Math.round(waitMs));
  }

  /** Reads the excess of the workspace at a position by usage, the largest of all pools. */
  #readExcess(rank: number): number {
    let largest = 0;
    for (const { shares } of this.#options.listPools()) {
      const workspace = shares.listByUsage()[rank - 1];
      if (workspace !== undefined) largest = Math.max(largest, shares.getExcess(workspace));
    }
    return Number(largest.toFixed(3));
  }
}
