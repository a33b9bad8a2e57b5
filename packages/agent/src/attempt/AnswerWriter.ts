import type { AnswerFrame, Attempt, Failure, Header, LoadReport } from '@limpetbay/core';

/**
 * Writes the answer frames of one attempt. The last frame carries the chunk and byte counts, by
 * which the entry checks that it received the complete answer.
 */
export class AnswerWriter {
  readonly #attempt: Attempt;

  readonly #incarnation: AnswerFrame['incarnation'];

  readonly #send: (frame: AnswerFrame) => boolean;

  readonly #finish: () => void;

  #chunks = 0;

  #bytes = 0;

  #isClosed = false;

  #hasHead = false;

  /** Whether a frame was written since the last call of `keepAlive()`. */
  #isActive = false;

  /** @param incarnation sent in the frames if the attempt names no incarnation (0) */
  constructor(
    attempt: Attempt,
    incarnation: AnswerFrame['incarnation'],
    send: (frame: AnswerFrame) => boolean,
    finish: () => void,
  ) {
    this.#attempt = attempt;
    // The entry process drops frames whose incarnation is not the one that its attempt named.
    this.#incarnation = attempt.incarnation === 0 ? incarnation : attempt.incarnation;
    this.#send = send;
    this.#finish = finish;
  }

  /** Sends the frame that accepts the attempt; it may still be queued. */
  accept(load: LoadReport): void {
    this.#write({ type: 'accepted', load });
  }

  /** @param replayed whether this is the stored outcome of an earlier attempt */
  startAnswer(status: number, headers: readonly Header[], replayed: boolean): void {
    this.#hasHead = true;
    this.#write({ type: 'head', status, headers, replayed });
  }

  /** @param tokens tokens that the data carries; 0 for plain services and replays */
  append(data: Uint8Array, tokens: number): void {
    this.#write({ type: 'chunk', sequence: this.#chunks, data, tokens });
    this.#chunks += 1;
    this.#bytes += data.length;
  }

  /** Sends a progress frame unless another frame was sent since the last call. */
  keepAlive(): void {
    if (!this.#isActive) this.#write({ type: 'progress' });
    this.#isActive = false;
  }

  /** Ends a complete answer. */
  end(load: LoadReport): void {
    this.#close({ type: 'end', chunks: this.#chunks, bytes: this.#bytes, load });
  }

  /** Refuses the attempt: it was not dispatched to the target. */
  refuse(failure: Failure, load: LoadReport): void {
    const { kind, message, retryAfterMs = 0 } = failure;
    this.#close({ type: 'refused', kind, message, retryAfterMs, load });
  }

  /** Fails the attempt: the target may have run it. */
  fail(failure: Failure, load: LoadReport): void {
    this.#close({ type: 'failed', kind: failure.kind, message: failure.message, load });
  }

  /** Stops sending frames, because the entry cancelled the attempt or disconnected. */
  closeSilently(): void {
    this.#isClosed = true;
  }

  isClosed(): boolean {
    return this.#isClosed;
  }

  /** Whether the head of the answer was written. */
  hasHead(): boolean {
    return this.#hasHead;
  }

  #close(part: AnswerFrame['part']): void {
    if (this.#isClosed) return;
    this.#write(part);
    this.#isClosed = true;
    this.#finish();
  }

  #write(part: AnswerFrame['part']): void {
    if (this.#isClosed) return;
    this.#isActive = true;
    const { requestId, attempt } = this.#attempt;
    this.#send({ requestId, attempt, incarnation: this.#incarnation, part });
  }
}
