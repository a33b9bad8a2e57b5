import {
  Server,
  ServerCredentials,
  type ServiceDefinition,
  type UntypedServiceImplementation,
} from '@grpc/grpc-js';
import type { RunningServer } from './RunningServer.js';

interface ServiceEntry {
  readonly definition: ServiceDefinition;
  readonly implementation: UntypedServiceImplementation;
}

/**
 * Starts the gRPC server of a process.
 *
 * @param address `IP:PORT` to listen on; port 0 takes a free one
 */
export async function startServer(
  address: string,
  services: readonly ServiceEntry[],
): Promise<RunningServer> {
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    'grpc.max_send_message_length': -1,
    'grpc.keepalive_time_ms': 2000,
    'grpc.keepalive_timeout_ms': 2000,
  });
  for (const { definition, implementation } of services) {
    server.addService(definition, implementation);
  }
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync(address, ServerCredentials.createInsecure(), (error, bound) => {
      if (error === null) resolve(bound);
      else reject(error);
    });
  });
  return {
    port,
    drain: () =>
      new Promise((resolve) => {
        server.tryShutdown(() => resolve());
      }),
    close: () => server.forceShutdown(),
  };
}
