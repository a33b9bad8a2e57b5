import { numericBounds } from '@limpetbay/core';

const MAX_UNIT = 255;

interface EncodedCounts {
  readonly scale: number;
  readonly units: string;
}

/**
 * Encodes counts as bytes with a common scale, so that more than a thousand of them fit into one
 * datagram. Above 255, counts are rounded to multiples of `scale`.
 */
export function encodeUnits(counts: ArrayLike<number>): EncodedCounts {
  let max = 0;
  for (let index = 0; index < counts.length; index += 1) {
    max = Math.max(max, readCount(counts, index));
  }
  const scale = Math.max(1, max / MAX_UNIT);
  const bytes = Buffer.alloc(counts.length);
  for (let index = 0; index < counts.length; index += 1) {
    const unit = Math.min(MAX_UNIT, Math.round(readCount(counts, index) / scale));
    bytes[index] = Math.max(0, unit);
  }
  return { scale, units: bytes.toString('base64') };
}

function readCount(counts: ArrayLike<number>, index: number): number {
  return Math.min(numericBounds.counter, Math.max(0, counts[index] ?? 0)) || 0;
}
