export { SoakRun } from './SoakRun.js';
export { StoreServer } from './standins/StoreServer.js';
