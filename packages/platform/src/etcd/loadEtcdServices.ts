import { fileURLToPath } from 'node:url';
import { loadPackageDefinition, type ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';

interface EtcdServices {
  readonly KV: ServiceClientConstructor;
  readonly Watch: ServiceClientConstructor;
  readonly Lease: ServiceClientConstructor;
}

const PROTO_FILE = fileURLToPath(new URL('../../proto/etcd.proto', import.meta.url));

/** Loads the service definitions of `etcd.proto`, shared by the client and the stand-in server. */
export function loadEtcdServices(): EtcdServices {
  const definition = loadSync(PROTO_FILE, {
    keepCase: true,
    longs: String,
    enums: String,
    defaults: true,
    arrays: true,
  });
  const loaded = loadPackageDefinition(definition);
  return loaded.etcdserverpb as unknown as EtcdServices;
}
