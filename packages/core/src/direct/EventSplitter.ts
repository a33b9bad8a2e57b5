const NEWLINE = 0x0a;
const ID_FIELD = 'id:';

interface SplitEvents {
  /** Whole events, as they arrived. */
  readonly bytes: Buffer;
  /** Id of the last whole event that has one; null where none has. */
  readonly lastId: string | null;
  readonly count: number;
}

/**
 * Cuts a server-sent event stream at event ends, so that a stream that breaks inside an event can
 * go on at another target without a torn event.
 */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0);

  /** Adds bytes of the stream. @returns the events that are whole now */
  accept(chunk: Uint8Array): SplitEvents {
    const bytes = this.#rest.length > 0 ? Buffer.concat([this.#rest, chunk]) : Buffer.from(chunk);
    let end = 0;
    let lastId: string | null = null;
    let count = 0;
    for (let at = bytes.indexOf('\n\n'); at >= 0; at = bytes.indexOf('\n\n', end)) {
      lastId = findId(bytes.subarray(end, at)) ?? lastId;
      end = at + 2;
      count += 1;
    }
    this.#rest = bytes.subarray(end);
    return { bytes: bytes.subarray(0, end), lastId, count };
  }

  /** Returns what follows the last whole event, and forgets it. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
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
