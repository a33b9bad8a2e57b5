import { Server, ServerCredentials } from '@grpc/grpc-js';
import type { RunningServer } from './RunningServer.js';

const KEEPALIVE_MS = 2000;

/**
 * Starts the gRPC server of a process. The caller adds services to it afterwards.
 *
 * @param address `IP:PORT` to listen on; port 0 selects a free port
 * @throws the error of the bind, such as an address in use, with its `code`
 */
export async function openServer(address: string): Promise<RunningServer> {
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    'grpc.max_send_message_length': -1,
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_MS,
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, boundPort) => {
      if (error === null) resolve(boundPort);
      else reject(addCode(error));
    });
  });
  return {
    server,
    address: `${address.slice(0, address.lastIndexOf(':'))}:${port}`,
    drain: () =>
      new Promise((resolve) => {
        server.tryShutdown(() => resolve());
      }),
    close: () => server.forceShutdown(),
  };
}

/** Adds the code of the operating system, which grpc-js reports only in the text of the error. */
function addCode(error: Error): Error {
  const code = /\b(?:listen|bind) (E[A-Z]+)\b/.exec(error.message)?.[1];
  return code === undefined ? error : Object.assign(error, { code });
}
