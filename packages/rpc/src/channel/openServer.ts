import { Server, ServerCredentials } from '@grpc/grpc-js';
import type { RunningServer } from './RunningServer.js';

const KEEPALIVE_MS = 2000;

/**
 * Opens the gRPC server of a process. Services are added to it afterwards.
 *
 * @param address `IP:PORT` to listen on; port 0 takes a free one
 */
export async function openServer(address: string): Promise<RunningServer> {
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    'grpc.max_send_message_length': -1,
    'grpc.keepalive_time_ms': KEEPALIVE_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_MS,
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound);
      else reject(error);
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
