import { hashText } from '@limpetbay/core';

const BLOCK_LENGTH = 256;
const MAX_BLOCKS = 16;

/** Hashes the prefixes of a prompt at block ends, shortest first. */
export function hashPrefixes(prompt: string): string[] {
  const hashes: string[] = [];
  for (let block = 1; block <= MAX_BLOCKS; block += 1) {
    const end = block * BLOCK_LENGTH;
    if (end > prompt.length) break;
    hashes.push(hashText(prompt.slice(0, end)).toString(36));
  }
  return hashes;
}
