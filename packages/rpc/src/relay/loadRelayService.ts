import { fileURLToPath } from 'node:url';
import { loadPackageDefinition, type ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';

const PROTO_FILE = fileURLToPath(new URL('../../proto/relay.proto', import.meta.url));

/** Loads the definition of the `Relay` gRPC service for clients and servers. */
export function loadRelayService(): ServiceClientConstructor {
  const definition = loadSync(PROTO_FILE, {
    longs: Number,
    defaults: true,
    arrays: true,
    oneofs: true,
  });
  const { limpetbay } = loadPackageDefinition(definition);
  return (limpetbay as unknown as { Relay: ServiceClientConstructor }).Relay;
}
