import type {
  Incarnation,
  MapRecord,
  PrepareReply,
  PrepareRequest,
  PromiseReply,
  RecoveryReply,
} from '@limpetbay/core';

/** What an agent answers to the other agents of its group. `RankRole` fits. */
export interface GroupHandler {
  handlePrepare(request: PrepareRequest): PrepareReply;
  handlePromise(record: MapRecord): PromiseReply;
  handleDecision(record: MapRecord): void;
  handleRecoveryRequest(rank: number, incarnation: Incarnation): RecoveryReply;
}
