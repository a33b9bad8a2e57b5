import { loadSync } from '@grpc/proto-loader';
import { loadPackageDefinition, type ServiceDefinition } from '@grpc/grpc-js';

const PROTO_FOLDER = new URL('../../proto/', import.meta.url);

interface LoadedPackage {
  readonly limpetbay: Readonly<Record<string, { readonly service: ServiceDefinition }>>;
}

/**
 * Loads the definition of a gRPC service from the proto folder of this package.
 *
 * @param file file name of the proto file
 * @param name name of the service in the file
 */
export function loadService(file: string, name: string): ServiceDefinition {
  const definition = loadSync(new URL(file, PROTO_FOLDER).pathname, {
    longs: Number,
    enums: String,
    defaults: true,
    oneofs: true,
  });
  const loaded = loadPackageDefinition(definition) as unknown as LoadedPackage;
  const loadedService = loaded.limpetbay[name];
  if (loadedService === undefined) throw new Error(`service ${name} is not defined in ${file}`);
  return loadedService.service;
}
