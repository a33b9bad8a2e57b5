const NEWLINE = 0x0a;
const ID_FIELD = 'id:';

interface SplitEvents {
  /** Complete events, unchanged. */
  readonly bytes: Buffer;
  /** Id of the first of them that has one; null where none has. */
  readonly firstId: string | null;
  /** Id of the last of them that has one; null where none has. */
  readonly lastId: string | null;
  readonly count: number;
}

/**
 * Splits a server-sent event stream at event boundaries. Only complete events are passed on, so
 * that a stream that breaks inside an event can be resumed at another target without a partial one.
 */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Adds bytes of the stream. @returns the events that are complete now */
  push(chunk: Uint8Array): SplitEvents {
    const bytes =
      this.#remainder.length > 0 ? Buffer.concat([this.#remainder, chunk]) : Buffer.from(chunk);
    let end = 0;
    let firstId: string | null = null;
    let lastId: string | null = null;
    let count = 0;
    for (
      let boundary = bytes.indexOf('\n\n');
      boundary >= 0;
      boundary = bytes.indexOf('\n\n', end)
    ) {
      lastId = findId(bytes.subarray(end, boundary)) ?? lastId;
      firstId ??= lastId;
      end = boundary + 2;
      count += 1;
    }
    this.#remainder = bytes.subarray(end);
    return { bytes: bytes.subarray(0, end), firstId, lastId, count };
  }

  /** Returns the number of bytes after the last complete event. */
  countPendingBytes(): number {
    return this.#remainder.length;
  }
}

function findId(event: Buffer): string | null {
  let start = 0;
  while (start < event.length) {
    const end = event.indexOf(NEWLINE, start);
    const line = event.toString('latin1', start, end < 0 ? event.length : end);
    if (line.startsWith(ID_FIELD)) return line.slice(ID_FIELD.length).trim();
    if (end < 0) return null;
    start = end + 1;
  }
  return null;
}
