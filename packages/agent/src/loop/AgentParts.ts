import type {
  ClaimLedger,
  Clock,
  ConfigSource,
  ServiceName,
  TargetAdmission,
} from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { EngineClient, Target } from '@limpetbay/targets';

/** What an `Agent` is built from. */
export interface AgentParts {
  readonly clock: Clock;
  readonly service: ServiceName;
  readonly config: ConfigSource;
  readonly admission: TargetAdmission;
  readonly ledger: ClaimLedger;
  readonly target: Target;
  /** Control paths of a model engine; null beside a plain service. */
  readonly engine: EngineClient | null;
  readonly log: Log;
  readonly metrics: MetricRegistry;
  readonly timing: {
    readonly tickMs: number;
    readonly progressMs: number;
    readonly enginePollMs: number;
    readonly engineSilenceMs: number;
  };
}
