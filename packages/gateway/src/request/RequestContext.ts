import type {
  AdmissionQueue,
  AnswerBudget,
  BodyBudget,
  Clock,
  RandomSource,
  RecentMaxima,
  RetryBudget,
  RouteTable,
  TargetHolds,
  TargetPace,
  TargetPicker,
  TargetRegistry,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';

import type { TargetPool } from '../ports/TargetPool.js';
import type { FairShares } from '../shares/FairShares.js';
import type { SharedTargetLimits } from '../limits/SharedTargetLimits.js';
import type { Timers } from '../ports/Timers.js';
import type { WireCodec } from '../ports/WireCodec.js';
import type { SharedSuspectBreaker } from '../suspects/SharedSuspectBreaker.js';
import type { TargetEndCheck } from '../suspects/TargetEndCheck.js';
import type { StopDeadline } from './StopDeadline.js';

/** Components and state of an entry that its requests share. */
export interface RequestContext {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timers: Timers;
  readonly codec: WireCodec;
  readonly registry: TargetRegistry;
  readonly picker: TargetPicker;
  readonly queue: AdmissionQueue;
  /** Shares of the workspaces in scarce capacity. */
  readonly shares: FairShares;
  /** Limits the memory of all bodies: those that arrive, wait or are not read. */
  readonly bodyBudget: BodyBudget;
  /** Limits the memory of the answers that callers have not taken. */
  readonly answerBudget: AnswerBudget;
  readonly limits: SharedTargetLimits;
  readonly holds: TargetHolds;
  readonly pace: TargetPace;
  readonly suspects: SharedSuspectBreaker;
  readonly endCheck: TargetEndCheck;
  readonly stopDeadline: StopDeadline;
  /** The longest streams that recently ended as complete, by route, milliseconds. */
  readonly streamDurations: RecentMaxima;
  /** The largest bodies that targets recently answered with, by route, bytes. */
  readonly bodySizes: RecentMaxima;
  readonly metrics: MetricRegistry;
  readonly log: Log;
  /** Returns the active routes; null before the first configuration. */
  readonly getTable: () => RouteTable | null;
  /** Returns the number of entries that send to the same targets. */
  readonly countEntries: () => number;
  /** Returns the retry budget of a service. */
  readonly getBudget: (service: string) => RetryBudget;
  /** Returns the connection pool of a target address. */
  readonly getPool: (address: string) => TargetPool;
}
