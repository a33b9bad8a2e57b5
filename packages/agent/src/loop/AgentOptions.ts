import type {
  ClaimLedger,
  Clock,
  ConfigSource,
  ServiceName,
  TargetAdmission,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { EngineClient, Target } from '@limpetbay/targets';

/** Dependencies and intervals of an `Agent`. */
export interface AgentOptions {
  readonly clock: Clock;
  readonly service: ServiceName;
  readonly config: ConfigSource;
  readonly admission: TargetAdmission;
  readonly ledger: ClaimLedger;
  readonly target: Target;
  /** Client of the model engine's control paths; null for a plain service. */
  readonly engine: EngineClient | null;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly timing: {
    readonly tickMs: number;
    /** Interval of the progress frames. */
    readonly progressMs: number;
    readonly enginePollMs: number;
    /** Time without a load report after which the engine counts as unresponsive. */
    readonly engineTimeoutMs: number;
  };
}
