import { applyMapDelta, type ExpertSets, type MapOrder } from '@limpetbay/core';
import { computeMapDigest } from './computeMapDigest.js';
import { decodeCopies } from './decodeCopies.js';

/**
 * Derives the map that an order describes.
 *
 * @returns null if the base is not the map from which the order was made
 */
export function applyMapOrder(base: ExpertSets, order: MapOrder): number[][][] | null {
  const added = decodeCopies(order.added);
  const removed = decodeCopies(order.removed);
  if (added === null || removed === null) return null;
  const sets = applyMapDelta(base, { added, removed });
  return sets !== null && computeMapDigest(sets) === order.digest ? sets : null;
}
