import type {
  AdmissionQueue,
  Clock,
  RandomSource,
  RetryBudget,
  RouteTable,
  TargetPicker,
  TargetRegistry,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { DirectPool } from '@limpetbay/targets';
import type { Timers } from '../ports/Timers.js';
import type { WireCodec } from '../ports/WireCodec.js';

/** What a request of an entry works with. */
export interface GatewayParts {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly codec: WireCodec;
  readonly registry: TargetRegistry;
  readonly picker: TargetPicker;
  readonly queue: AdmissionQueue;
  readonly metrics: MetricRegistry;
  readonly log: Log;
  /** Null until the first configuration. */
  readonly getTable: () => RouteTable | null;
  /** When this process ends, monotonic milliseconds; null unless it was told to stop. */
  readonly getEndMs: () => number | null;
  /** Returns the number of entries that send to the same targets. */
  readonly countEntries: () => number;
  readonly getBudget: (service: string) => RetryBudget;
  readonly getPool: (address: string) => DirectPool;
}
