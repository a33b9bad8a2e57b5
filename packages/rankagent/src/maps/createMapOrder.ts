import { diffMaps, type ExpertSets, type MapOrder } from '@limpetbay/core';
import { computeMapDigest } from './computeMapDigest.js';
import { encodeCopies } from './encodeCopies.js';

interface VersionedMap {
  readonly version: number;
  readonly sets: ExpertSets;
}

/** A larger difference does not fit into a datagram and is hardly smaller than the map. */
const MAX_COPIES = 1000;

/**
 * Creates the order to prepare a map that ranks derive from an earlier one.
 *
 * @returns null if the maps differ too much
 */
export function createMapOrder(base: VersionedMap, next: VersionedMap): MapOrder | null {
  const { added, removed } = diffMaps(base.sets, next.sets);
  if (added.length + removed.length > MAX_COPIES) return null;
  return {
    version: next.version,
    baseVersion: base.version,
    added: encodeCopies(added),
    removed: encodeCopies(removed),
    digest: computeMapDigest(next.sets),
  };
}
