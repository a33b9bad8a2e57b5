import {
  status,
  type sendUnaryData,
  type ServerUnaryCall,
  type ServerWritableStream,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import { Attempt, type LoadReport } from '@limpetbay/core';
import type { DispatchHandler } from './DispatchHandler.js';
import { encodeFrame } from './encodeFrame.js';
import type { WireFrame } from './WireFrame.js';

/** Creates the gRPC implementation of `dispatchService` that calls a handler. */
export function createDispatchService(handler: DispatchHandler): UntypedServiceImplementation {
  return {
    GetLoad: (_call: ServerUnaryCall<unknown, LoadReport>, respond: sendUnaryData<LoadReport>) => {
      respond(null, handler.getLoad());
    },
    Run: (call: ServerWritableStream<unknown, WireFrame>): void => {
      const attempt = Attempt.safeParse(call.request);
      if (!attempt.success) {
        const issue = attempt.error.issues[0]!;
        call.emit('error', {
          code: status.INVALID_ARGUMENT,
          details: `${issue.path.join('.')}: ${issue.message}`,
        });
        return;
      }
      const cancel = handler.run(
        attempt.data,
        (frame) => call.write(encodeFrame(frame)),
        () => call.end(),
      );
      call.on('cancelled', cancel);
      call.on('close', cancel);
    },
  };
}
