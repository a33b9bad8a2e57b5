const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Computes the rendezvous score of an instance for a key. The instances with the highest scores are
 * chosen, so adding or removing an instance changes only the choices that involve it.
 *
 * @returns an unsigned 32-bit integer
 */
export function scoreRelay(key: string, instance: string): number {
  let hash = FNV_OFFSET;
  const text = `${key}\0${instance}`;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // FNV-1a alone orders names that differ only in the last letter by that letter; the MurmurHash3
  // finalizer removes that order.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
