const BYTES = 2;
const MAX_UNIT = 65_535;

interface Units {
  readonly scale: number;
  readonly units: string;
}

/** Encodes counts so that several hundred of them fit into one datagram. */
export function encodeUnits(counts: ArrayLike<number>): Units {
  let highest = 0;
  for (let at = 0; at < counts.length; at += 1) highest = Math.max(highest, counts[at] ?? 0);
  const scale = Math.max(1, highest / MAX_UNIT);
  const bytes = Buffer.alloc(counts.length * BYTES);
  for (let at = 0; at < counts.length; at += 1) {
    const unit = Math.min(MAX_UNIT, Math.round((counts[at] ?? 0) / scale));
    bytes.writeUInt16LE(Math.max(0, unit), at * BYTES);
  }
  return { scale, units: bytes.toString('base64') };
}
