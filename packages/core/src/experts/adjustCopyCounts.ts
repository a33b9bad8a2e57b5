import type { LayerPlacement } from './LayerPlacement.js';
import { chooseCopyCounts } from './chooseCopyCounts.js';

/**
 * Adjusts the number of copies of each expert to the loads and leaves all other copies in place.
 * Surplus copies are removed from the most loaded ranks and missing ones added to the least loaded
 * ranks with a free slot; copies that cannot be placed leave the slot unchanged. Escapes the local
 * minima of a search that changes one copy at a time.
 *
 * @param loads load by expert id, any unit
 * @param maxLoadsPerRank copies that a rank has memory to load in addition to its running ones
 */
export function adjustCopyCounts(
  layer: LayerPlacement,
  loads: ArrayLike<number>,
  maxLoadsPerRank: number,
): LayerPlacement {
  const sizes = layer.ranks.map((slots) => slots.length);
  const slotCount = sizes.reduce((sum, size) => sum + size, 0);
  const copyCounts = chooseCopyCounts(loads, layer.ranks.length, slotCount);
  const layout = layer.ranks.map((slots) => [...slots]);
  const ranksByExpert = copyCounts.map((): number[] => []);
  for (const [rank, slots] of layout.entries()) {
    for (const expert of slots) ranksByExpert[expert]?.push(rank);
  }
  const getCopyLoad = (expert: number): number => (loads[expert] ?? 0) / (copyCounts[expert] ?? 1);
  const rankLoads = layout.map((slots) =>
    slots.reduce((sum, expert) => sum + getCopyLoad(expert), 0),
  );
  const missing: number[] = [];
  for (const [expert, count] of copyCounts.entries()) {
    const ranks = ranksByExpert[expert] ?? [];
    for (let copy = ranks.length; copy < count; copy += 1) missing.push(expert);
    for (let surplus = ranks.length - count; surplus > 0; surplus -= 1) {
      // Only ranks that can still load a replacement for the removed copy.
      let hottest = -1;
      for (const rank of ranks) {
        const slots = layout[rank] ?? [];
        const hasReachedLimit = (sizes[rank] ?? 0) - slots.length >= maxLoadsPerRank;
        if (hasReachedLimit || !slots.includes(expert)) continue;
        if (hottest < 0 || (rankLoads[rank] ?? 0) > (rankLoads[hottest] ?? 0)) hottest = rank;
      }
      const slots = layout[hottest];
      if (slots === undefined) break;
      slots.splice(slots.indexOf(expert), 1);
      rankLoads[hottest] = (rankLoads[hottest] ?? 0) - getCopyLoad(expert);
    }
  }
  missing.sort((a, b) => getCopyLoad(b) - getCopyLoad(a) || a - b);
  for (const expert of missing) {
    let coldest = -1;
    for (const [rank, slots] of layout.entries()) {
      if (slots.length >= (sizes[rank] ?? 0) || slots.includes(expert)) continue;
      if (layer.ranks[rank]?.includes(expert)) continue;
      if (coldest < 0 || (rankLoads[rank] ?? 0) < (rankLoads[coldest] ?? 0)) coldest = rank;
    }
    const slots = layout[coldest];
    if (slots === undefined) continue;
    slots.push(expert);
    rankLoads[coldest] = (rankLoads[coldest] ?? 0) + getCopyLoad(expert);
  }
  // Slots that no missing copy could fill retain their expert.
  for (const [rank, slots] of layout.entries()) {
    for (const expert of layer.ranks[rank] ?? []) {
      if (slots.length >= (sizes[rank] ?? 0)) break;
      if (!slots.includes(expert)) slots.push(expert);
    }
  }
  return { ranks: layout };
}
