import type { Clock, EntryRecord, RandomSource, Store } from '@limpetbay/core';
import type { AddressBinder, InputLimits, Log, MetricRegistry } from '@limpetbay/runtime';
import type { RecordLayout } from '../feed/RecordLayout.js';
import type { Timers } from '../ports/Timers.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { GatewayLimits } from './GatewayLimits.js';

/** Dependencies and settings of a `Gateway`. */
export interface GatewayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly binder: AddressBinder;
  readonly store: Store;
  readonly codec: WireCodec;
  readonly layout: RecordLayout;
  readonly self: EntryRecord;
  readonly limits: GatewayLimits;
  /** Limits what callers hold by their connections to all servers of the process; its own by default. */
  readonly inputs?: InputLimits;
  readonly metrics: MetricRegistry;
  /** Creates the log of a component with its prefix. */
  readonly createLog: (prefix: string) => Log;
}
