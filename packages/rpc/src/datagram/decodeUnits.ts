const BYTES = 2;

/** Decodes what `encodeUnits` wrote. @returns counts in their order */
export function decodeUnits(units: string, scale: number): Float64Array {
  const bytes = Buffer.from(units, 'base64');
  const counts = new Float64Array(Math.floor(bytes.length / BYTES));
  for (let at = 0; at < counts.length; at += 1) {
    counts[at] = bytes.readUInt16LE(at * BYTES) * scale;
  }
  return counts;
}
