import type { LayerPlacement } from './LayerPlacement.js';
import { countCopies } from './countCopies.js';

/**
 * Brings the numbers of copies to what the loads ask for and leaves the other copies in place:
 * surplus copies go from the most loaded ranks, missing ones to the least loaded ranks with a free
 * slot. What does not fit stays as it is. Escapes the local minima of a search that changes one copy at a time.
 *
 * @param loads load by expert id, any unit
 * @param maxLoadsPerRank copies that one rank may load beside its running ones
 */
export function rebuildLayer(
  layer: LayerPlacement,
  loads: ArrayLike<number>,
  maxLoadsPerRank: number,
): LayerPlacement {
  const sizes = layer.ranks.map((slots) => slots.length);
  const slotCount = sizes.reduce((sum, size) => sum + size, 0);
  const counts = countCopies(loads, layer.ranks.length, slotCount);
  const layout = layer.ranks.map((slots) => [...slots]);
  const holders = counts.map((): number[] => []);
  for (const [rank, slots] of layout.entries()) {
    for (const expert of slots) holders[expert]?.push(rank);
  }
  const getCopyLoad = (expert: number): number => (loads[expert] ?? 0) / (counts[expert] ?? 1);
  const rankLoads = layout.map((slots) =>
    slots.reduce((sum, expert) => sum + getCopyLoad(expert), 0),
  );
  const missing: number[] = [];
  for (const [expert, count] of counts.entries()) {
    const held = holders[expert] ?? [];
    for (let more = held.length; more < count; more += 1) missing.push(expert);
    for (let surplus = held.length - count; surplus > 0; surplus -= 1) {
      // Only ranks that may still load a copy in the place of the one that goes.
      let hottest = -1;
      for (const rank of held) {
        const slots = layout[rank] ?? [];
        const isFull = (sizes[rank] ?? 0) - slots.length >= maxLoadsPerRank;
        if (isFull || !slots.includes(expert)) continue;
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
  // Slots that no missing copy could take keep what they hold.
  for (const [rank, slots] of layout.entries()) {
    for (const expert of layer.ranks[rank] ?? []) {
      if (slots.length >= (sizes[rank] ?? 0)) break;
      if (!slots.includes(expert)) slots.push(expert);
    }
  }
  return { ranks: layout };
}
