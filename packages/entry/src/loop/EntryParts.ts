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
import type { ChannelPool } from '../channels/ChannelPool.js';

/** What an `Entry` is built from. */
export interface EntryParts {
  readonly id: InstanceId;
  readonly zone: Zone;
  /** Base URL that callers are told to use for this entry. */
  readonly callerUrl: string;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly config: ConfigSource;
  readonly router: Router;
  readonly budget: RetryBudget;
  readonly limiter: WorkspaceLimiter;
  readonly channels: ChannelPool;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly timing: {
    readonly tickMs: number;
    readonly silenceMs: number;
    readonly addressTtlMs: number;
  };
}
