const NEWLINE = 0x0a;
const ID_FIELD = 'id:';
const DATA_FIELD = 'data:';

interface SplitEvents {
  /** Complete events, unchanged. */
  readonly bytes: Buffer;
  /** Id of the first of them that has one; null where none has. */
  readonly firstId: string | null;
  readonly count: number;
}

/**
 * Splits a server-sent event stream at event boundaries. Only complete events are passed on, so
 * that a stream that breaks inside an event can be resumed at another target without a partial one.
 */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  #lastId: string | null;

  /** @param resumedAfter id of the event after which the stream resumes; null if it does not */
  constructor(resumedAfter: string | null = null) {
    this.#lastId = resumedAfter;
  }

  /** Adds bytes of the stream. @returns the events that are complete now */
  push(chunk: Uint8Array): SplitEvents {
    const bytes =
      this.#remainder.length > 0 ? Buffer.concat([this.#remainder, chunk]) : Buffer.from(chunk);
    let end = 0;
    let firstId: string | null = null;
    let count = 0;
    for (
      let boundary = bytes.indexOf('\n\n');
      boundary >= 0;
      boundary = bytes.indexOf('\n\n', end)
    ) {
      const event = bytes.subarray(end, boundary);
      const id = findField(event, ID_FIELD);
      firstId ??= id;
      // Without data it is a comment, which a resumed stream need not contain.
      if (id !== null || findField(event, DATA_FIELD) !== null) this.#lastId = id;
      end = boundary + 2;
      count += 1;
    }
    this.#remainder = bytes.subarray(end);
    return { bytes: bytes.subarray(0, end), firstId, count };
  }

  /** Returns the id of the last complete event, after which the stream can resume; null if none. */
  getLastId(): string | null {
    return this.#lastId;
  }

  /** Returns the number of bytes after the last complete event. */
  countPendingBytes(): number {
    return this.#remainder.length;
  }
}

/** @returns the value of the first such field; null if the event has none */
function findField(event: Buffer, field: string): string | null {
  let start = 0;
  while (start < event.length) {
    const end = event.indexOf(NEWLINE, start);
    const line = event.toString('latin1', start, end < 0 ? event.length : end);
    if (line.startsWith(field)) return line.slice(field.length).trim();
    if (end < 0) return null;
    start = end + 1;
  }
  return null;
}
