const NEWLINE = 0x0a;

const ID_FIELD = Buffer.from('id:');

const DATA_FIELD = Buffer.from('data:');

const NO_EVENTS = { bytes: Buffer.alloc(0), firstId: null, count: 0 };

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
 *
 * Each byte is examined once, however small the chunks of the stream are.
 */
export class EventSplitter {
  /** Bytes of the incomplete event, and space for more. */
  #buffer: Buffer = Buffer.alloc(0);

  #bytes = 0;

  /** Start of the last line of the buffer, which is not complete. */
  #lineStart = 0;

  /** Id of the incomplete event; null without one so far. */
  #eventId: string | null = null;

  #hasData = false;

  #lastId: string | null;

  /** Bytes of complete events since the last one with an id or data. */
  #commentBytes = 0;

  /** @param resumedAfter id of the event after which the stream resumes; null if it does not */
  constructor(resumedAfter: string | null = null) {
    this.#lastId = resumedAfter;
  }

  /** Adds bytes of the stream. @returns the events that are complete now */
  push(chunk: Uint8Array): SplitEvents {
    const scanStart = this.#bytes;
    this.#append(chunk);
    const bytes = this.#buffer;
    let eventStart = 0;
    let firstId: string | null = null;
    let count = 0;
    for (let index = scanStart; index < this.#bytes; index += 1) {
      if (bytes[index] !== NEWLINE) continue;
      const isBoundary = index === this.#lineStart && index > eventStart;
      if (isBoundary) {
        firstId ??= this.#eventId;
        this.#finishEvent(index + 1 - eventStart);
        eventStart = index + 1;
        count += 1;
      } else this.#readLine(index);
      this.#lineStart = index + 1;
    }
    if (count === 0) return NO_EVENTS;
    return { bytes: this.#cut(eventStart), firstId, count };
  }

  /** Returns the id of the last complete event, after which the stream can resume; null if none. */
  getLastId(): string | null {
    return this.#lastId;
  }

  /** Returns the number of bytes after the last complete event. */
  countPendingBytes(): number {
    return this.#bytes;
  }

  /** Returns the number of bytes since the last complete event with an id or data. */
  countBytesWithoutData(): number {
    return this.#commentBytes + this.#bytes;
  }

  #append(chunk: Uint8Array): void {
    const needed = this.#bytes + chunk.length;
    if (needed > this.#buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(needed, 2 * this.#bytes));
      this.#buffer.copy(grown, 0, 0, this.#bytes);
      this.#buffer = grown;
    }
    this.#buffer.set(chunk, this.#bytes);
    this.#bytes = needed;
  }

  #readLine(end: number): void {
    const start = this.#lineStart;
    if (this.#eventId === null && this.#hasField(ID_FIELD, start, end)) {
      this.#eventId = this.#buffer.toString('latin1', start + ID_FIELD.length, end).trim();
    } else if (!this.#hasData) this.#hasData = this.#hasField(DATA_FIELD, start, end);
  }

  #hasField(field: Buffer, start: number, end: number): boolean {
    if (end - start < field.length) return false;
    for (let index = 0; index < field.length; index += 1) {
      if (this.#buffer[start + index] !== field[index]) return false;
    }
    return true;
  }

  #finishEvent(eventBytes: number): void {
    // Without data it is a comment, which a resumed stream need not contain.
    if (this.#eventId !== null || this.#hasData) {
      this.#lastId = this.#eventId;
      this.#commentBytes = 0;
    } else this.#commentBytes += eventBytes;
    this.#eventId = null;
    this.#hasData = false;
  }

  /** Removes the complete events from the buffer. @param end of the last of them */
  #cut(end: number): Buffer {
    const events = this.#buffer.subarray(0, end);
    // The events stay in memory until they are written, so the rest gets a buffer of its own.
    this.#buffer = Buffer.from(this.#buffer.subarray(end, this.#bytes));
    this.#bytes -= end;
    this.#lineStart -= end;
    return events;
  }
}
