import type { LayerPlacement } from './LayerPlacement.js';

/**
 * Creates a placement without load data: assigns experts to ranks round-robin, slot by slot. Where
 * there are more slots than experts, the sequence of experts starts over, so that the remaining
 * base slots and the spare slots hold further copies.
 *
 * @param slotsPerRank base and spare slots of a rank
 */
export function createRoundRobinLayer(
  experts: number,
  ranks: number,
  slotsPerRank: number,
): LayerPlacement {
  const layout: number[][] = Array.from({ length: ranks }, () => []);
  let next = 0;
  // A rank holds an expert at most once, so slots beyond the number of experts stay empty.
  const slots = Math.min(slotsPerRank, experts);
  for (let slot = 0; slot < slots; slot += 1) {
    for (const held of layout) {
      // Skips experts that the rank already holds.
      for (let tries = 0; tries < experts && held.includes(next % experts); tries += 1) next += 1;
      held.push(next % experts);
      next += 1;
    }
  }
  return { ranks: layout };
}
