import {
  status,
  type sendUnaryData,
  type ServerUnaryCall,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { MapRecord, PrepareRequest } from '@limpetbay/core';
import type { GroupHandler } from './GroupHandler.js';
import { RankQuestion } from './RankQuestion.js';

interface GroupRequest {
  readonly group: string;
  readonly rank: number;
  readonly body: string;
}

interface GroupReply {
  readonly served: boolean;
  readonly body: string;
}

/**
 * Creates the server side of `groupService`.
 *
 * @param findHandler returns the handler of a rank, or null where this process does not serve it
 */
export function createGroupService(
  findHandler: (group: string, rank: number) => GroupHandler | null,
): UntypedServiceImplementation {
  const serve =
    (respond: (handler: GroupHandler, body: unknown) => object | undefined) =>
    (call: ServerUnaryCall<GroupRequest, GroupReply>, answer: sendUnaryData<GroupReply>): void => {
      const { group, rank, body } = call.request;
      const handler = findHandler(group, rank);
      if (handler === null) {
        answer(null, { served: false, body: '' });
        return;
      }
      try {
        const reply = respond(handler, JSON.parse(body));
        answer(null, { served: true, body: reply === undefined ? '' : JSON.stringify(reply) });
      } catch (error) {
        answer({ code: status.INVALID_ARGUMENT, details: String(error) });
      }
    };
  return {
    Prepare: serve((handler, body) => handler.handlePrepare(PrepareRequest.parse(body))),
    Promise: serve((handler, body) => handler.handlePromise(MapRecord.parse(body))),
    Tell: serve((handler, body) => {
      handler.handleDecision(MapRecord.parse(body));
      return undefined;
    }),
    Ask: serve((handler, body) => {
      const { rank, incarnation } = RankQuestion.parse(body);
      return handler.handleRecoveryRequest(rank, incarnation);
    }),
  };
}
