import type { Clock, DirectTarget, EngineModel, Failure, Result } from '@limpetbay/core';
import type { Log, MetricRegistry } from '@limpetbay/runtime';
import type { PeerNetwork } from '../ports/PeerNetwork.js';
import type { RankControl } from '../ports/RankControl.js';

/** Settings and dependencies of a {@link RankAgent}. */
export interface RankAgentOptions {
  readonly clock: Clock;
  readonly metrics: MetricRegistry;
  /** Creates the log of a component; the prefix names it. */
  readonly createLog: (prefix: string) => Log;
  readonly network: PeerNetwork;
  /** Bandwidth of the link of an agent, bits per second; the same for all agents of a group. */
  readonly linkBitsPerSecond: number;
  /** Port at which agents reach each other; the same for all. */
  readonly peerPort: number;
  /** `IP:PORT` of the rank that this agent serves. */
  readonly rankAddress: string;
  /** Creates the interface to a rank from its `IP:PORT`. */
  readonly openRank: (address: string) => RankControl;
  /** Lists the registered targets of the rank's service. */
  readonly listTargets: () => Promise<Result<readonly DirectTarget[], Failure>>;
  /** Reads the engine model of the service; null if the service is unknown. */
  readonly readModel: () => Promise<Result<EngineModel | null, Failure>>;
}
