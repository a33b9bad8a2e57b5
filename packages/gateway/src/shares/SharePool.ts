import type { WorkspaceShares } from '@limpetbay/core';

/** The workspaces that compete for the slots of one service at one priority. */
export interface SharePool {
  readonly service: string;
  readonly priority: number;
  readonly shares: WorkspaceShares;
  /** When a request last found no free slot, monotonic milliseconds. */
  scarceMs: number;
}
