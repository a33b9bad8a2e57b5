import { createRoundRobinLayer } from '../experts/createRoundRobinLayer.js';
import type { ExpertSets } from './ExpertSets.js';

/** Creates the map with which a group forms: one copy of each expert, assigned round-robin. */
export function createInitialMap(sets: number, experts: number, ranks: number): ExpertSets {
  const { ranks: layer } = createRoundRobinLayer(experts, ranks, Math.ceil(experts / ranks));
  return Array.from({ length: sets }, () => layer);
}
