import { numericBounds, type MapDelta } from '@limpetbay/core';
import { parseVarints } from './parseVarints.js';

/** Decodes copies that `encodeCopies` encoded; null if the text is not valid. */
export function decodeCopies(text: string): MapDelta['added'] | null {
  const numbers = parseVarints(Buffer.from(text, 'base64'));
  if (numbers === null) return null;
  const [ranks = 0, experts = 0, ...differences] = numbers;
  const copies: [number, number, number][] = [];
  let position = 0;
  for (const difference of differences) {
    position += difference;
    const row = Math.floor(position / experts);
    const set = Math.floor(row / ranks);
    // Also not a number if there are no ranks or experts.
    if (!(set < numericBounds.expertSets)) return null;
    copies.push([set, row % ranks, position % experts]);
  }
  return copies;
}
