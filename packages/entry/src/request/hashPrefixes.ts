import { hashText } from '@limpetbay/core';

/** Block length in characters. */
const BLOCK_LENGTH = 256;
const MAX_BLOCKS = 16;

/**
 * Hashes the prefixes of a prompt that end at a block boundary, shortest first. The router uses
 * them to pick a target whose prefix cache holds the longest one.
 */
export function hashPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  for (let block = 1; block <= MAX_BLOCKS; block += 1) {
    const end = block * BLOCK_LENGTH;
    if (end > prompt.length) break;
    hashes.push(hashText(prompt.slice(0, end)).toString(36));
  }
  return hashes;
}
