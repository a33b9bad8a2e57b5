import {
  KvUse,
  WorkEstimator,
  WorkspaceShares,
  type Clock,
  type DirectRoute,
  type DirectService,
  type RequestHead,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import { RequestShare } from './RequestShare.js';
import type { SharePool } from './SharePool.js';
import { ShareReport } from './ShareReport.js';

interface FairSharesOptions {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  /** Returns whether workspaces of one priority share scarce capacity fairly. */
  readonly isEnabled: () => boolean;
}

/** What an entry learns about the requests of one service. */
interface ServiceWork {
  readonly estimator: WorkEstimator;
  readonly kvUse: KvUse;
}

interface AdmittedRequest {
  readonly route: DirectRoute;
  readonly service: DirectService;
  /** Null where keys are not checked. */
  readonly workspace: string | null;
  readonly priority: number;
}

/**
 * Time constant of the usage, as a fraction of the time limit of the route. Shorter ones let the
 * noise of single requests decide, and longer ones hide bursts of a few seconds.
 */
const TIME_CONSTANT_TIMEOUT_FRACTION = 0.5;

/** Above this number, what belongs to earlier configurations is dropped with the rest. */
const MAX_POOLS = 256;

/** Shares of the workspaces in the capacity of the services, as one entry sees their usage. */
export class FairShares {
  readonly #options: FairSharesOptions;

  readonly #pools = new Map<string, SharePool>();

  readonly #services = new Map<string, ServiceWork>();

  #report: ShareReport | null = null;

  constructor(options: FairSharesOptions) {
    this.#options = options;
  }

  /** @returns the share of a request; null where workspaces have no shares */
  track(head: RequestHead, admitted: AdmittedRequest): RequestShare | null {
    const { clock, isEnabled } = this.#options;
    if (!isEnabled()) return null;
    const { route, service, priority } = admitted;
    // Requests without a workspace count as those of one.
    const workspace = admitted.workspace ?? '';
    const { estimator, kvUse } = this.#openService(service.name);
    const estimate = estimator.estimate(head, service.engine, workspace);
    const report = this.#openReport();
    report.reportEstimate(head.id, estimate);
    return new RequestShare({
      clock,
      route,
      engine: service.engine,
      estimator,
      estimate,
      kvUse,
      pool: this.#openPool(service.name, priority, route),
      isResumed: head.lastEventId !== null,
      report,
    });
  }

  #openReport(): ShareReport {
    const { clock, log, metrics } = this.#options;
    this.#report ??= new ShareReport({
      clock,
      log,
      metrics,
      listPools: () => this.#pools.values(),
    });
    return this.#report;
  }

  #openService(name: string): ServiceWork {
    let service = this.#services.get(name);
    if (service === undefined) {
      if (this.#services.size >= MAX_POOLS) this.#services.clear();
      service = { estimator: new WorkEstimator(), kvUse: new KvUse() };
      this.#services.set(name, service);
    }
    return service;
  }

  #openPool(service: string, priority: number, route: DirectRoute): SharePool {
    const key = `${priority} ${service}`;
    const timeConstantMs = TIME_CONSTANT_TIMEOUT_FRACTION * route.timeoutMs;
    let pool = this.#pools.get(key);
    if (pool === undefined) {
      if (this.#pools.size >= MAX_POOLS) this.#pools.clear();
      const shares = new WorkspaceShares(this.#options.clock, timeConstantMs);
      pool = { service, priority, shares, scarceMs: -Infinity };
      this.#pools.set(key, pool);
    }
    pool.shares.setTimeConstant(timeConstantMs);
    return pool;
  }
}
