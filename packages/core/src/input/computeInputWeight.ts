/** Work and memory of a byte of a body compared with one of a head or of the framing of chunks. */
const PAYLOAD_WEIGHT = 1 / 16;

/**
 * Computes what it costs to parse a piece of a connection's bytes, as the equivalent in bytes of heads
 * or framing.
 *
 * @param bytes of the piece
 * @param payloadBytes those that belong to a body
 */
export function computeInputWeight(bytes: number, payloadBytes: number): number {
  return bytes - payloadBytes + payloadBytes * PAYLOAD_WEIGHT;
}
