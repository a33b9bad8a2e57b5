import type { LayerPlacement } from './LayerPlacement.js';
import { chooseCopyCounts } from './chooseCopyCounts.js';

interface Copy {
  readonly expert: number;
  readonly load: number;
}

/**
 * Places an expert when every rank with a free slot holds it already: another rank moves one of its
 * experts to the free slot and takes this expert instead.
 */
function placeBySwap(layout: number[][], slotsPerRank: number, expert: number): void {
  const rankWithFreeSlot = layout.find((slots) => slots.length < slotsPerRank);
  if (rankWithFreeSlot === undefined) return;
  for (const other of layout) {
    if (other.includes(expert)) continue;
    const slot = other.findIndex((held) => !rankWithFreeSlot.includes(held));
    if (slot < 0) continue;
    rankWithFreeSlot.push(other[slot] ?? expert);
    other[slot] = expert;
    return;
  }
}

/**
 * Packs a layer from scratch: replicates the most loaded experts into the spare slots, then places
 * the copies, heaviest first, on the least loaded rank. Ignores the current placement.
 *
 * @param loads load by expert id, any unit
 * @param slotsPerRank base and spare slots of a rank; `ranks * slotsPerRank` must not be less than
 *   the number of experts
 */
export function packLayer(
  loads: ArrayLike<number>,
  ranks: number,
  slotsPerRank: number,
): LayerPlacement {
  const layout: number[][] = Array.from({ length: ranks }, () => []);
  const rankLoads = Array.from({ length: ranks }, () => 0);
  const copies: Copy[] = [];
  for (const [expert, count] of chooseCopyCounts(loads, ranks, ranks * slotsPerRank).entries()) {
    const load = (loads[expert] ?? 0) / count;
    for (let copy = 0; copy < count; copy += 1) copies.push({ expert, load });
  }
  copies.sort((a, b) => b.load - a.load || a.expert - b.expert);
  for (const copy of copies) {
    let best = -1;
    for (let rank = 0; rank < ranks; rank += 1) {
      const slots = layout[rank] ?? [];
      if (slots.length >= slotsPerRank || slots.includes(copy.expert)) continue;
      if (best < 0 || (rankLoads[rank] ?? 0) < (rankLoads[best] ?? 0)) best = rank;
    }
    if (best < 0) {
      placeBySwap(layout, slotsPerRank, copy.expert);
      continue;
    }
    layout[best]?.push(copy.expert);
    rankLoads[best] = (rankLoads[best] ?? 0) + copy.load;
  }
  return { ranks: layout };
}
