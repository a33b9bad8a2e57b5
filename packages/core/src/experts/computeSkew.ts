import type { LayerPlacement } from './LayerPlacement.js';
import { computeRankLoads } from './computeRankLoads.js';

/**
 * Computes the skew of a placement: the load of the slowest rank relative to the mean rank.
 *
 * @param loads load by expert id, any unit
 * @returns 1 at perfect balance or without load
 */
export function computeSkew(layer: LayerPlacement, loads: ArrayLike<number>): number {
  const rankLoads = computeRankLoads(layer, loads);
  let sum = 0;
  let highest = 0;
  for (const load of rankLoads) {
    sum += load;
    if (load > highest) highest = load;
  }
  return sum > 0 ? (highest * rankLoads.length) / sum : 1;
}
