import type { DevFleetOptions } from './DevFleetOptions.js';

/** Two zones with two entries each, a model group of 8 ranks, and a plain service of 3 targets. */
export const defaultFleetOptions: DevFleetOptions = {
  zones: ['a', 'b'],
  entriesPerZone: 2,
  ranks: 8,
  plainTargets: 3,
  experts: 128,
  port: 0,
  logLevel: 'info',
  stepMs: 20,
  addressTtlMs: 10_000,
  leaveMs: 3000,
};
