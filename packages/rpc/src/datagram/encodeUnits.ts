const BYTES_PER_UNIT = 2;
const MAX_UNIT = 65_535;

interface EncodedCounts {
  readonly scale: number;
  readonly units: string;
}

/**
 * Encodes counts as 16-bit integers with a common scale, so that several hundred of them fit into one
 * datagram. Counts above 65,535 lose precision.
 */
export function encodeUnits(counts: ArrayLike<number>): EncodedCounts {
  let max = 0;
  for (let index = 0; index < counts.length; index += 1) max = Math.max(max, counts[index] ?? 0);
  const scale = Math.max(1, max / MAX_UNIT);
  const bytes = Buffer.alloc(counts.length * BYTES_PER_UNIT);
  for (let index = 0; index < counts.length; index += 1) {
    const unit = Math.min(MAX_UNIT, Math.round((counts[index] ?? 0) / scale));
    bytes.writeUInt16LE(Math.max(0, unit), index * BYTES_PER_UNIT);
  }
  return { scale, units: bytes.toString('base64') };
}
