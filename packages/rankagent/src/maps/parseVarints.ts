const BITS = 2 ** 7;

/** Parses the numbers that `appendVarint` appended; null if the last one is not complete or one is too large. */
export function parseVarints(bytes: Uint8Array): number[] | null {
  const numbers: number[] = [];
  let value = 0;
  let factor = 1;
  for (const byte of bytes) {
    value += (byte % BITS) * factor;
    if (value > Number.MAX_SAFE_INTEGER) return null;
    if (byte >= BITS) factor *= BITS;
    else {
      numbers.push(value);
      value = 0;
      factor = 1;
    }
  }
  return factor === 1 ? numbers : null;
}
