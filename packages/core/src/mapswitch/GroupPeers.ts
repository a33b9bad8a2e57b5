import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RecoveryReply } from './RecoveryReply.js';

/**
 * Calls to the agents of a group, by rank. Each call may fail and has its own deadline, well under
 * a quarter of the planner lease; otherwise a slow call would keep the planner from renewing it.
 */
export interface GroupPeers {
  prepare(rank: number, request: PrepareRequest): Promise<Result<PrepareReply, Failure>>;
  promise(rank: number, record: MapRecord): Promise<Result<PromiseReply, Failure>>;
  /** Sends a decided record. */
  sendDecision(rank: number, record: MapRecord): Promise<Result<void, Failure>>;
  /** Requests the newest map record that a rank knows, for recovery of the requesting rank. */
  requestRecovery(
    rank: number,
    requester: { readonly rank: number; readonly incarnation: Incarnation },
  ): Promise<Result<RecoveryReply, Failure>>;
}
