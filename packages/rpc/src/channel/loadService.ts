import { loadSync } from '@grpc/proto-loader';
import { loadPackageDefinition, type ServiceDefinition } from '@grpc/grpc-js';

const PROTO_FOLDER = new URL('../../proto/', import.meta.url);

interface LoadedPackage {
  readonly limpetbay: Readonly<Record<string, { readonly service: ServiceDefinition }>>;
}

/**
 * Loads the definition of a gRPC service from this package's proto folder.
 *
 * @param file name of the proto file
 * @param name name of the service in it
 */
export function loadService(file: string, name: string): ServiceDefinition {
  const definition = loadSync(new URL(file, PROTO_FOLDER).pathname, {
    longs: Number,
    enums: String,
    defaults: true,
    oneofs: true,
  });
  const loaded = loadPackageDefinition(definition) as unknown as LoadedPackage;
  const found = loaded.limpetbay[name];
  if (found === undefined) throw new Error(`no service ${name} in ${file}`);
  return found.service;
}
