import type {
  Incarnation,
  MapRecord,
  PrepareReply,
  PrepareRequest,
  PromiseReply,
  RecoveryReply,
} from '@limpetbay/core';

/** Answers the calls of the other agents of a group for one rank; `RankRole` has this shape. */
export interface GroupHandler {
  handlePrepare(request: PrepareRequest): PrepareReply;
  handlePromiseRequest(record: MapRecord): PromiseReply;
  handleDecision(record: MapRecord): void;
  handleRecoveryRequest(rank: number, incarnation: Incarnation): RecoveryReply;
}
