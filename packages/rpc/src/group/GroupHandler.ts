import type {
  Incarnation,
  MapRecord,
  PrepareReply,
  PrepareRequest,
  PromiseReply,
  RankEvidence,
} from '@limpetbay/core';

/** What an agent answers to the other agents of its group. `RankRole` fits. */
export interface GroupHandler {
  handlePrepare(request: PrepareRequest): PrepareReply;
  handlePromise(record: MapRecord): PromiseReply;
  handleTell(record: MapRecord): void;
  handleAsk(rank: number, incarnation: Incarnation): RankEvidence;
}
