import type { MapDelta } from '@limpetbay/core';
import { copyBytes } from './copyBytes.js';

/** Decodes copies that `encodeCopies` encoded; an incomplete last one is ignored. */
export function decodeCopies(text: string): MapDelta['added'] {
  const bytes = Buffer.from(text, 'base64');
  const copies: [number, number, number][] = [];
  for (let start = 0; start + copyBytes.total <= bytes.length; start += copyBytes.total) {
    const rankOffset = start + copyBytes.set;
    const expertOffset = rankOffset + copyBytes.rank;
    copies.push([
      bytes.readUInt8(start),
      bytes.readUInt16BE(rankOffset),
      bytes.readUInt16BE(expertOffset),
    ]);
  }
  return copies;
}
