import type { Result } from 'ts-results';
import type { Failure } from '../errors/Failure.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { MapRecord } from './MapRecord.js';
import type { PrepareReply } from './PrepareReply.js';
import type { PrepareRequest } from './PrepareRequest.js';
import type { PromiseReply } from './PromiseReply.js';
import type { RankEvidence } from './RankEvidence.js';

/**
 * The agents of a group, by rank. Each call may fail at any time and ends by a deadline of its own,
 * well under a quarter of the planner lease, so that the holder comes to renew it.
 */
export interface GroupPeers {
  prepare(rank: number, request: PrepareRequest): Promise<Result<PrepareReply, Failure>>;
  promise(rank: number, record: MapRecord): Promise<Result<PromiseReply, Failure>>;
  tell(rank: number, record: MapRecord): Promise<Result<void, Failure>>;
  /** Asks what a rank knows, on behalf of the asking rank's present incarnation. */
  ask(
    rank: number,
    asker: { readonly rank: number; readonly incarnation: Incarnation },
  ): Promise<Result<RankEvidence, Failure>>;
}
