export { SoakRun } from './SoakRun.js';
export { readCommand } from './processes/readCommand.js';
export { StoreServer } from './standins/StoreServer.js';
