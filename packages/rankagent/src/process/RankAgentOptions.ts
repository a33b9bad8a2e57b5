import type { Clock, DirectTarget, EngineModel, Failure, Result } from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { RankWire } from '../ports/RankWire.js';

/** What the agent beside a rank is started with. */
export interface RankAgentOptions {
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  /** Creates the log of a part from its prefix. */
  readonly createLog: (prefix: string) => Log;
  /** Address of this process towards other processes; the port is the same everywhere. */
  readonly host: string;
  readonly peerPort: number;
  /** `IP:PORT` of the rank beside this process. */
  readonly rankAddress: string;
  /** Opens the interface of a rank. */
  readonly openRank: (address: string) => RankWire;
  /** Lists the registered targets of the rank's service. */
  readonly listTargets: () => Promise<Result<readonly DirectTarget[], Failure>>;
  /** Reads how the engines of the service work; null where the service is unknown. */
  readonly readModel: () => Promise<Result<EngineModel | null, Failure>>;
}
