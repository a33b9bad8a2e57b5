import {
  status,
  type sendUnaryData,
  type ServerUnaryCall,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { MapRecord, PrepareRequest } from '@limpetbay/core';
import type { GroupHandler } from './GroupHandler.js';
import { RecoveryRequest } from './RecoveryRequest.js';

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
 * Creates the gRPC implementation of `groupService`.
 *
 * @param findHandler returns the handler of a rank, or null if this process does not serve the rank
 */
export function createGroupService(
  findHandler: (group: string, rank: number) => GroupHandler | null,
): UntypedServiceImplementation {
  const createMethod =
    (handleBody: (handler: GroupHandler, body: unknown) => object | undefined) =>
    (call: ServerUnaryCall<GroupRequest, GroupReply>, respond: sendUnaryData<GroupReply>): void => {
      const { group, rank, body } = call.request;
      const handler = findHandler(group, rank);
      if (handler === null) {
        respond(null, { served: false, body: '' });
        return;
      }
      try {
        const reply = handleBody(handler, JSON.parse(body));
        respond(null, { served: true, body: reply === undefined ? '' : JSON.stringify(reply) });
      } catch (error) {
        respond({ code: status.INVALID_ARGUMENT, details: String(error) });
      }
    };
  return {
    Prepare: createMethod((handler, body) => handler.handlePrepare(PrepareRequest.parse(body))),
    Promise: createMethod((handler, body) => handler.handlePromiseRequest(MapRecord.parse(body))),
    Tell: createMethod((handler, body) => {
      handler.handleDecision(MapRecord.parse(body));
      return undefined;
    }),
    Ask: createMethod((handler, body) => {
      const { rank, incarnation } = RecoveryRequest.parse(body);
      return handler.handleRecoveryRequest(rank, incarnation);
    }),
  };
}
