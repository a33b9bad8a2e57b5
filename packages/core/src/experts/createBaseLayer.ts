import type { LayerPlacement } from './LayerPlacement.js';

/**
 * Creates the placement that needs no load data: slot by slot, the experts in order over the
 * ranks. Where a group has more base slots than experts, the order starts again, so that base
 * slots hold copies as well; spare slots continue the same order.
 *
 * @param slotsPerRank base and spare slots
 */
export function createBaseLayer(
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
      // A rank that would hold the expert twice takes the next one.
      for (let tries = 0; tries < experts && held.includes(next % experts); tries += 1) next += 1;
      held.push(next % experts);
      next += 1;
    }
  }
  return { ranks: layout };
}
