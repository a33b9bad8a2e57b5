import type { LoadReport } from '@limpetbay/core';
import type { ModelRequest } from './ModelRequest.js';

/** A way to choose targets at one entry; the router and the baselines implement it. */
export interface RoutingPolicy {
  /** Chooses and notes the send. @returns index of the target */
  pick(request: ModelRequest): number;
  finish(request: ModelRequest, target: number): void;
  acceptLoad(report: LoadReport): void;
}
