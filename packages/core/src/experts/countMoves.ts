import type { LayerPlacement } from './LayerPlacement.js';

/** Counts the copies that ranks must load to change from one placement to another. */
export function countMoves(from: LayerPlacement, to: LayerPlacement): number {
  let moves = 0;
  for (const [rank, slots] of to.ranks.entries()) {
    const held = new Set(from.ranks[rank]);
    for (const expert of slots) if (!held.has(expert)) moves += 1;
  }
  return moves;
}
