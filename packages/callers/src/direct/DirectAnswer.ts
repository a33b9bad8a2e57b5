import type { ServerResponse } from 'node:http';
import {
  answerTable,
  type AnswerBudget,
  type BudgetedBody,
  type Clock,
  type Failure,
} from '@limpetbay/core';
import { abortResponse } from '../answer/abortResponse.js';
import { toErrorBody } from '../answer/toErrorBody.js';
import type { DroppedAnswer } from './DroppedAnswer.js';

interface AnswerOptions {
  readonly clock: Clock;
  /** Limits the memory of what callers have not read. */
  readonly budget: AnswerBudget;
  /** Returns the longest time for which a caller may leave a complete answer unread, milliseconds. */
  readonly getIdleTimeoutMs: () => number;
  /** Called when the answer is broken off because of its memory, or because it is not read. */
  readonly onDropped: (dropped: DroppedAnswer) => void;
  /** Called when the answer is known completely; parts of it may wait to be sent. */
  readonly onEnded: () => void;
}

const MS_PER_SECOND = 1000;

/** Bytes of a body that are handed to the connection at a time. */
const MAX_WRITE_BYTES = 262_144;

/** Time without progress after which an answer may be dropped for others. */
const STALLED_MS = 5000;

/** Writes an answer to a caller; bodies of targets are forwarded byte for byte. */
export class DirectAnswer implements BudgetedBody {
  readonly #response: ServerResponse;

  /** Whether the connection is closed after the answer, because the entry is leaving. */
  readonly #isLast: () => boolean;

  readonly #options: AnswerOptions | null;

  /** Parts of the body that wait until the connection has taken those before them. */
  #blocks: readonly Uint8Array[] = [];

  #nextBlock = 0;

  #waitingBytes = 0;

  /** When the answer began or the connection last took a part of it, monotonic milliseconds. */
  #progressMs = 0;

  #breaksOffUnread = false;

  #onTaken: { readonly maxBytes: number; readonly run: () => void } | null = null;

  /** @param options no limits by default */
  constructor(
    response: ServerResponse,
    isLast: () => boolean,
    options: AnswerOptions | null = null,
  ) {
    this.#response = response;
    this.#isLast = isLast;
    this.#options = options;
  }

  /** A caller that reads does not lose its answer to others. */
  isPinned(): boolean {
    return this.#countIdleMs() < STALLED_MS;
  }

  isStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Sends status and headers. @param headers alternating names and values */
  start(status: number, headers: readonly string[]): void {
    const rawHeaders = [...headers];
    if (this.#isLast()) rawHeaders.push('Connection', 'close');
    this.#response.writeHead(status, rawHeaders);
  }

  write(data: Uint8Array): void {
    this.#beginProgress();
    this.#response.write(data, this.#handleTaken);
    this.#updateBudget();
  }

  /**
   * Calls a function once, when the connection has taken all but `maxBytes` of what was written. The
   * answer is broken off if its caller reads nothing for the idle timeout.
   */
  waitUntilTaken(maxBytes: number, run: () => void): void {
    this.#onTaken = { maxBytes, run };
    this.#breakOffUnread();
  }

  /** Returns the number of bytes that the caller's connection has not taken yet. */
  countUnsentBytes(): number {
    return this.#response.writableLength + this.#waitingBytes;
  }

  /**
   * Sends the last part of the body and ends the answer. It is broken off if the caller reads
   * nothing of the rest for the idle timeout.
   *
   * @param blocks each small, because memory is given back with each block that is sent
   */
  end(blocks: readonly Uint8Array[]): void {
    this.#beginProgress();
    this.#blocks = blocks;
    this.#options?.onEnded();
    for (const { length } of blocks) this.#waitingBytes += length;
    this.#writeBlocks();
    this.#updateBudget();
    if (this.#response.destroyed || this.countUnsentBytes() === 0) return;
    this.#breakOffUnread();
  }

  /** Sends a complete answer. @param headers as for `start` @param blocks as for `end` */
  send(status: number, headers: readonly string[], blocks: readonly Uint8Array[]): void {
    let bodyBytes = 0;
    for (const { length } of blocks) bodyBytes += length;
    this.start(status, [...headers, 'Content-Length', String(bodyBytes)]);
    this.end(blocks);
  }

  /** Closes the connection, so that the caller cannot mistake the answer for a complete one. */
  destroy(): void {
    this.release();
    abortResponse(this.#response);
  }

  /** Gives up what the connection has not taken, after it was closed. */
  release(): void {
    this.#blocks = [];
    this.#nextBlock = 0;
    this.#waitingBytes = 0;
    this.#onTaken = null;
    this.#options?.budget.update(this, 0);
  }

  evict(): void {
    this.#drop('memory');
  }

  #drop(cause: 'memory' | 'unread'): void {
    const dropped = { cause, bytes: this.countUnsentBytes(), noProgressMs: this.#countIdleMs() };
    this.destroy();
    this.#options?.onDropped(dropped);
  }

  #breakOffUnread(): void {
    if (this.#options === null || this.#breaksOffUnread) return;
    this.#breaksOffUnread = true;
    this.#response.setTimeout(this.#options.getIdleTimeoutMs(), () => {
      // A target that is read at the pace of its caller may be silent as well.
      if (this.countUnsentBytes() > 0) this.#drop('unread');
    });
  }

  /** Time in which nothing waited for the caller does not count. */
  #beginProgress(): void {
    if (this.countUnsentBytes() === 0) this.#progressMs = this.#getNow();
  }

  #getNow(): number {
    return this.#options?.clock.getNow() ?? 0;
  }

  #countIdleMs(): number {
    return Math.round(this.#getNow() - this.#progressMs);
  }

  /** Hands the next blocks to the connection, and ends the answer with the last one. */
  #writeBlocks(): void {
    let writtenBytes = 0;
    while (this.#nextBlock < this.#blocks.length - 1) {
      const block = this.#blocks[this.#nextBlock] as Uint8Array;
      this.#nextBlock += 1;
      this.#waitingBytes -= block.length;
      writtenBytes += block.length;
      if (writtenBytes >= MAX_WRITE_BYTES) {
        this.#response.write(block, () => this.#continueBlocks());
        return;
      }
      this.#response.write(block, this.#handleTaken);
    }
    const last = this.#blocks[this.#nextBlock];
    this.#blocks = [];
    this.#waitingBytes = 0;
    this.#response.end(last);
  }

  #continueBlocks(): void {
    if (this.#blocks.length > 0) this.#writeBlocks();
    this.#handleTaken();
  }

  /** An arrow function, because the connection calls it after each write. */
  readonly #handleTaken = (): void => {
    this.#progressMs = this.#getNow();
    this.#updateBudget();
    if (this.#onTaken === null || this.countUnsentBytes() > this.#onTaken.maxBytes) return;
    const { run } = this.#onTaken;
    this.#onTaken = null;
    run();
  };

  #updateBudget(): void {
    if (this.#response.destroyed) return;
    this.#options?.budget.update(this, this.countUnsentBytes());
  }

  /** Answers a caller that has stopped sending with an error, and closes the connection. */
  failAndClose(failure: Failure): void {
    this.fail(failure, ['Connection', 'close']);
  }

  /** Answers with a JSON error. @param headers additional headers, as for `start` */
  fail(failure: Failure, headers: readonly string[] = []): void {
    const body = Buffer.from(`${JSON.stringify(toErrorBody(failure))}\n`);
    const rawHeaders = [...headers, 'Content-Type', 'application/json'];
    if (failure.retryAfterMs !== undefined) {
      rawHeaders.push('Retry-After', (failure.retryAfterMs / MS_PER_SECOND).toFixed(3));
    }
    this.send(answerTable[failure.kind].status, rawHeaders, [body]);
  }
}
