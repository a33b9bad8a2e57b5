export type { EtcdApi } from './etcd/EtcdApi.js';
export { EtcdConnection } from './etcd/EtcdConnection.js';
export { EtcdStore } from './etcd/EtcdStore.js';
export { EtcdWatch } from './etcd/EtcdWatch.js';
export { getPrefixEnd } from './etcd/getPrefixEnd.js';
export { loadEtcdServices } from './etcd/loadEtcdServices.js';
export { InstanceListClient } from './instances/InstanceListClient.js';
