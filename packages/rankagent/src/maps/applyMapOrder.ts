import { applyMapDelta, type ExpertSets, type MapOrder } from '@limpetbay/core';
import { computeMapDigest } from './computeMapDigest.js';
import { decodeCopies } from './decodeCopies.js';

/**
 * Derives the map that an order describes.
 *
 * @returns null if the base is not the map from which the order was made
 */
export function applyMapOrder(base: ExpertSets, order: MapOrder): number[][][] | null {
  const delta = { added: decodeCopies(order.added), removed: decodeCopies(order.removed) };
  const sets = applyMapDelta(base, delta);
  return sets !== null && computeMapDigest(sets) === order.digest ? sets : null;
}
