import type {
  Clock,
  ConfigSource,
  InstanceId,
  RandomSource,
  RetryBudget,
  Router,
  WorkspaceLimiter,
  Zone,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { ConnectionPool } from '../connections/ConnectionPool.js';

/** Options and dependencies of an `Entry`. */
export interface EntryOptions {
  readonly id: InstanceId;
  readonly zone: Zone;
  /** Base URL of this entry in the answer of `GET /v1/entries`. */
  readonly callerUrl: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly config: ConfigSource;
  readonly router: Router;
  readonly budget: RetryBudget;
  readonly limiter: WorkspaceLimiter;
  readonly connectionPool: ConnectionPool;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly timing: {
    /** Interval of the periodic checks. */
    readonly tickMs: number;
    /** Maximum time between two frames of an attempt. */
    readonly progressTimeoutMs: number;
    /** Time for which callers may cache the answer of `GET /v1/entries`. */
    readonly addressTtlMs: number;
  };
}
