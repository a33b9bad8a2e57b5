import type { MapDelta } from '@limpetbay/core';
import { appendVarint } from './appendVarint.js';

/**
 * Encodes copies of experts as base64: the numbers of ranks and experts, then the differences
 * between the ascending positions (set, rank, expert) of the copies, each as a variable-length
 * number. A copy takes about two bytes, so that the change of a large group fits into one packet.
 */
export function encodeCopies(copies: MapDelta['added']): string {
  let ranks = 0;
  let experts = 0;
  for (const [, rank, expert] of copies) {
    ranks = Math.max(ranks, rank + 1);
    experts = Math.max(experts, expert + 1);
  }
  const positions: number[] = [];
  for (const [set, rank, expert] of copies) positions.push((set * ranks + rank) * experts + expert);
  positions.sort((a, b) => a - b);
  const bytes: number[] = [];
  appendVarint(bytes, ranks);
  appendVarint(bytes, experts);
  let previous = 0;
  for (const position of positions) {
    appendVarint(bytes, position - previous);
    previous = position;
  }
  return Buffer.from(bytes).toString('base64');
}
