export { InstanceListServer } from './instances/InstanceListServer.js';
export { KeyValueState } from './store/KeyValueState.js';
export { StoreServer } from './store/StoreServer.js';
