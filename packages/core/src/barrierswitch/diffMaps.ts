import type { ExpertSets } from './ExpertSets.js';
import type { MapDelta } from './MapDelta.js';

/** Computes the copies that differ between two maps with the same sets and ranks. */
export function diffMaps(before: ExpertSets, after: ExpertSets): MapDelta {
  return { added: listMissing(after, before), removed: listMissing(before, after) };
}

/** Lists the copies of one map that the other one lacks. */
function listMissing(map: ExpertSets, other: ExpertSets): MapDelta['added'] {
  const missing: MapDelta['added'][number][] = [];
  for (const [set, ranks] of map.entries()) {
    for (const [rank, experts] of ranks.entries()) {
      const present = new Set(other[set]?.[rank] ?? []);
      for (const expert of experts) if (!present.has(expert)) missing.push([set, rank, expert]);
    }
  }
  return missing;
}
