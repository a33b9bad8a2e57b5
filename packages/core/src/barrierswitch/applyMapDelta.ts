import type { ExpertSets } from './ExpertSets.js';
import type { MapDelta } from './MapDelta.js';

/**
 * Applies a difference of maps.
 *
 * @returns the new map with the experts of each rank in ascending order; null if a copy to remove is
 *   missing or the difference names a set or rank that the map lacks
 */
export function applyMapDelta(map: ExpertSets, { added, removed }: MapDelta): number[][][] | null {
  const experts = map.map((ranks) => ranks.map((copies) => new Set(copies)));
  for (const [set, rank, expert] of removed) {
    if (experts[set]?.[rank]?.delete(expert) !== true) return null;
  }
  for (const [set, rank, expert] of added) {
    const copies = experts[set]?.[rank];
    if (copies === undefined) return null;
    copies.add(expert);
  }
  return experts.map((ranks) => ranks.map((copies) => [...copies].sort((a, b) => a - b)));
}
