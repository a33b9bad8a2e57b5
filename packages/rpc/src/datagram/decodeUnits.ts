const BYTES_PER_UNIT = 2;

/**
 * Decodes counts that `encodeUnits` encoded.
 *
 * @param units base64 of unsigned 16-bit little-endian integers
 * @param scale count that one unit represents
 */
export function decodeUnits(units: string, scale: number): Float64Array {
  const bytes = Buffer.from(units, 'base64');
  const counts = new Float64Array(Math.floor(bytes.length / BYTES_PER_UNIT));
  for (let index = 0; index < counts.length; index += 1) {
    counts[index] = bytes.readUInt16LE(index * BYTES_PER_UNIT) * scale;
  }
  return counts;
}
