export type { EtcdApi } from './etcd/EtcdApi.js';
export { loadEtcdServices } from './etcd/loadEtcdServices.js';
