import type { MapDelta } from '@limpetbay/core';
import { copyBytes } from './copyBytes.js';

/** Encodes copies of experts as base64: layer set, rank and expert of each. */
export function encodeCopies(copies: MapDelta['added']): string {
  const bytes = Buffer.alloc(copies.length * copyBytes.total);
  let offset = 0;
  for (const [set, rank, expert] of copies) {
    offset = bytes.writeUInt8(set, offset);
    offset = bytes.writeUInt16BE(rank, offset);
    offset = bytes.writeUInt16BE(expert, offset);
  }
  return bytes.toString('base64');
}
