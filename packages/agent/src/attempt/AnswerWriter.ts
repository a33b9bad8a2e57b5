import type { AnswerFrame, Attempt, Failure, Header, LoadReport } from '@limpetbay/core';

/** Writes the frames of one attempt, with the counts by which the entry checks them. */
export class AnswerWriter {
  readonly #attempt: Attempt;

  readonly #incarnation: AnswerFrame['incarnation'];

  readonly #send: (frame: AnswerFrame) => boolean;

  readonly #finish: () => void;

  #chunks = 0;

  #bytes = 0;

  #isClosed = false;

  #hasHead = false;

  /** Whether a frame was written since the last call of `keepAlive`. */
  #isActive = false;

  /** @param incarnation life of the target that the frames carry where the attempt names none */
  constructor(
    attempt: Attempt,
    incarnation: AnswerFrame['incarnation'],
    send: (frame: AnswerFrame) => boolean,
    finish: () => void,
  ) {
    this.#attempt = attempt;
    // Frames repeat the incarnation that the attempt names, so that the entry can match them.
    this.#incarnation = attempt.incarnation === 0 ? incarnation : attempt.incarnation;
    this.#send = send;
    this.#finish = finish;
  }

  accept(load: LoadReport): void {
    this.#write({ type: 'accepted', load });
  }

  startAnswer(status: number, headers: readonly Header[], replayed: boolean): void {
    this.#hasHead = true;
    this.#write({ type: 'head', status, headers, replayed });
  }

  append(data: Uint8Array, tokens: number): void {
    this.#write({ type: 'chunk', sequence: this.#chunks, data, tokens });
    this.#chunks += 1;
    this.#bytes += data.length;
  }

  /** Sends a progress frame unless another frame has shown progress since the last call. */
  keepAlive(): void {
    if (!this.#isActive) this.#write({ type: 'progress' });
    this.#isActive = false;
  }

  /** Marks the answer as complete. */
  end(load: LoadReport): void {
    this.#close({ type: 'end', chunks: this.#chunks, bytes: this.#bytes, load });
  }

  /** Declares that nothing was handed to the target. */
  refuse(failure: Failure, load: LoadReport): void {
    const { kind, message, retryAfterMs = 0 } = failure;
    this.#close({ type: 'refused', kind, message, retryAfterMs, load });
  }

  /** Says that the attempt failed and may have run. */
  fail(failure: Failure, load: LoadReport): void {
    this.#close({ type: 'failed', kind: failure.kind, message: failure.message, load });
  }

  /** Sends nothing from now on, because the entry has gone. */
  closeSilently(): void {
    this.#isClosed = true;
  }

  isClosed(): boolean {
    return this.#isClosed;
  }

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
