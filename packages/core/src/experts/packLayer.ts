import type { LayerPlacement } from './LayerPlacement.js';
import { countCopies } from './countCopies.js';

interface Copy {
  readonly expert: number;
  readonly load: number;
}

/** Makes room for an expert on a rank that lacks it, when all free slots are on ranks that hold it. */
function placeBySwap(layout: number[][], slotsPerRank: number, expert: number): void {
  const open = layout.find((slots) => slots.length < slotsPerRank);
  if (open === undefined) return;
  for (const other of layout) {
    if (other.includes(expert)) continue;
    const slot = other.findIndex((held) => !open.includes(held));
    if (slot < 0) continue;
    open.push(other[slot] ?? expert);
    other[slot] = expert;
    return;
  }
}

/**
 * Packs a layer from nothing: replicates the busiest experts into the spare slots, then places the
 * copies, heaviest first, on the least loaded rank. Ignores where copies are now.
 *
 * @param loads load by expert id, any unit
 * @param slotsPerRank base and spare slots; all ranks together must have a slot for each expert
 */
export function packLayer(
  loads: ArrayLike<number>,
  ranks: number,
  slotsPerRank: number,
): LayerPlacement {
  const layout: number[][] = Array.from({ length: ranks }, () => []);
  const sums = Array.from({ length: ranks }, () => 0);
  const copies: Copy[] = [];
  for (const [expert, count] of countCopies(loads, ranks, ranks * slotsPerRank).entries()) {
    const load = (loads[expert] ?? 0) / count;
    for (let copy = 0; copy < count; copy += 1) copies.push({ expert, load });
  }
  copies.sort((a, b) => b.load - a.load || a.expert - b.expert);
  for (const copy of copies) {
    let best = -1;
    for (let rank = 0; rank < ranks; rank += 1) {
      const slots = layout[rank] ?? [];
      if (slots.length >= slotsPerRank || slots.includes(copy.expert)) continue;
      if (best < 0 || (sums[rank] ?? 0) < (sums[best] ?? 0)) best = rank;
    }
    if (best < 0) {
      placeBySwap(layout, slotsPerRank, copy.expert);
      continue;
    }
    layout[best]?.push(copy.expert);
    sums[best] = (sums[best] ?? 0) + copy.load;
  }
  return { ranks: layout };
}
