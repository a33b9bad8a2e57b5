import type { LayerPlacement } from './LayerPlacement.js';
import { computeRankLoads } from './computeRankLoads.js';

/**
 * Computes the skew of a placement: the load of the slowest rank relative to the mean rank.
 *
 * @param loads load by expert id, any unit
 * @param paces how many times longer each rank takes for the same load; 1 where absent
 * @returns 1 at perfect balance or without load
 */
export function computeSkew(
  layer: LayerPlacement,
  loads: ArrayLike<number>,
  paces: readonly number[] = [],
): number {
  const rankLoads = computeRankLoads(layer, loads);
  let sum = 0;
  let highest = 0;
  for (const [rank, load] of rankLoads.entries()) {
    sum += load;
    highest = Math.max(highest, load * (paces[rank] ?? 1));
  }
  return sum > 0 ? (highest * rankLoads.length) / sum : 1;
}
