export { SoakRun } from './SoakRun.js';
