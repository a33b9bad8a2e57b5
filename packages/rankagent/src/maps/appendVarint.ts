/** Bits of a number in one byte; the eighth bit tells that more bytes follow. */
const BITS = 2 ** 7;

/** Appends a non-negative integer in groups of seven bits, the lowest first. */
export function appendVarint(bytes: number[], value: number): void {
  let rest = value;
  while (rest >= BITS) {
    bytes.push((rest % BITS) + BITS);
    rest = Math.floor(rest / BITS);
  }
  bytes.push(rest);
}
