interface InputState {
  /** Bytes that have arrived and were not parsed; not empty. */
  readonly held: Buffer;
  /** Whether the body of the last request is incomplete, so that the bytes begin within it. */
  readonly isBodyOpen: boolean;
  /** Bytes of the piece before, if it was within the same body; else 0. */
  readonly previousBytes: number;
  /** Bytes of these that were the body itself and not its framing. */
  readonly previousPayloadBytes: number;
}

const HEAD_END = Buffer.from('\r\n\r\n');

/** Each end of a chunked body begins so; other places where it occurs do no harm. */
const LAST_CHUNK_START = Buffer.from('\r\n0');

/** How the rest of such a start may look after a piece that ended within it. */
const LAST_CHUNK_STARTS = [LAST_CHUNK_START, Buffer.from('\n0'), Buffer.from('0')];

/** Largest piece of a head. The end of a head may have been split, so that chunks follow in a piece. */
const MAX_HEAD_PIECE_BYTES = 4096;

const FIRST_BODY_PIECE_BYTES = 1024;

/**
 * Chooses how many of the bytes of a caller's connection are parsed at a time: one head, or a piece
 * of a body. Pieces of a body grow while they consist mostly of the body itself, and stay small while
 * they consist of the framing of chunks, because each chunk takes far more memory than its bytes.
 * They are small where a chunked body may end, because other requests may follow.
 *
 * @returns bytes, at least 1
 */
export function chooseInputBytes(state: InputState): number {
  const { held, isBodyOpen, previousBytes, previousPayloadBytes } = state;
  if (!isBodyOpen) {
    const end = held.indexOf(HEAD_END);
    const bytes = end < 0 ? held.length : end + HEAD_END.length;
    return Math.min(bytes, MAX_HEAD_PIECE_BYTES);
  }
  const isMostlyPayload = previousBytes > 0 && previousPayloadBytes >= previousBytes / 2;
  if (!isMostlyPayload || isAtLastChunk(held)) {
    return Math.min(held.length, FIRST_BODY_PIECE_BYTES);
  }
  const bytes = Math.min(held.length, Math.max(previousBytes * 2, FIRST_BODY_PIECE_BYTES));
  const end = held.subarray(0, bytes).indexOf(LAST_CHUNK_START);
  return end < 0 ? bytes : end;
}

function isAtLastChunk(held: Buffer): boolean {
  for (const start of LAST_CHUNK_STARTS) {
    if (held.subarray(0, start.length).equals(start)) return true;
  }
  return false;
}
