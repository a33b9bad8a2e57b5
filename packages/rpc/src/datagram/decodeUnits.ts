/**
 * Decodes counts that `encodeUnits` encoded.
 *
 * @param units base64 of one byte per count
 * @param scale count that one unit represents
 */
export function decodeUnits(units: string, scale: number): Float64Array {
  return Float64Array.from(Buffer.from(units, 'base64'), (unit) => unit * scale);
}
