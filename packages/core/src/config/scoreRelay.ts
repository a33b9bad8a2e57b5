const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the rendezvous score of an instance for a key: the highest scores are chosen, and a
 * change of the list moves only the choices that it concerns.
 *
 * @returns a whole number of 32 bits
 */
export function scoreRelay(key: string, instance: string): number {
  let hash = FNV_OFFSET;
  const text = `${key}\0${instance}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone leaves the scores of names that differ in the last letter in order.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
