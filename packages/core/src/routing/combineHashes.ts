/** Combines two 32-bit hashes into a well-mixed third (finalizer of MurmurHash3). */
export function combineHashes(first: number, second: number): number {
  let hash = Math.imul(first ^ 0x9e3779b9, 0x85ebca6b) ^ second;
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
