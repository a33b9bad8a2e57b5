import type { LayerPlacement } from './LayerPlacement.js';

/**
 * Computes the load of each rank.
 *
 * @param loads load by expert id, any unit
 * @returns load by rank, same unit
 */
export function computeRankLoads(layer: LayerPlacement, loads: ArrayLike<number>): number[] {
  const copies = new Uint32Array(loads.length);
  for (const slots of layer.ranks) {
    for (const expert of slots) copies[expert] = (copies[expert] ?? 0) + 1;
  }
  return layer.ranks.map((slots, rank) => {
    const shares = layer.shares?.[rank];
    let sum = 0;
    let slot = 0;
    for (const expert of slots) {
      sum += (loads[expert] ?? 0) * (shares?.[slot] ?? 1 / (copies[expert] ?? 1));
      slot += 1;
    }
    return sum;
  });
}
