import type { ServerResponse } from 'node:http';
import { answerTable, type Failure, type Header } from '@limpetbay/core';
import type { CallerAnswer } from './CallerAnswer.js';
import { abortResponse } from './abortResponse.js';
import { toErrorBody } from './toErrorBody.js';

const MS_PER_SECOND = 1000;

/** Writes an answer to an HTTP response. */
export class HttpCallerAnswer implements CallerAnswer {
  readonly #response: ServerResponse;

  /** Whether the connection is closed after the answer, because the entry is leaving. */
  readonly #isLast: () => boolean;

  #isEventStream = false;

  constructor(response: ServerResponse, isLast: () => boolean) {
    this.#response = response;
    this.#isLast = isLast;
  }

  start(status: number, headers: readonly Header[]): void {
    const rawHeaders: string[] = [];
    for (const { name, value } of headers) {
      rawHeaders.push(name, value);
      if (name.toLowerCase() === 'content-type') this.#isEventStream = /event-stream/.test(value);
    }
    if (this.#isLast()) rawHeaders.push('Connection', 'close');
    this.#response.writeHead(status, rawHeaders);
  }

  write(data: Uint8Array): boolean {
    return this.#response.write(data);
  }

  end(): void {
    this.#response.end();
  }

  fail(failure: Failure): void {
    const body = JSON.stringify(toErrorBody(failure));
    if (this.#response.headersSent) {
      if (this.#isEventStream) this.#response.write(`event: error\ndata: ${body}\n\n`);
      // In the next turn of the event loop, so that the error event is sent first.
      setImmediate(() => abortResponse(this.#response));
      return;
    }
    const headers: Header[] = [{ name: 'Content-Type', value: 'application/json' }];
    if (failure.retryAfterMs !== undefined) {
      const retryAfterSeconds = Math.ceil(failure.retryAfterMs / MS_PER_SECOND);
      headers.push({ name: 'Retry-After', value: String(retryAfterSeconds) });
    }
    this.start(answerTable[failure.kind].status, headers);
    this.#response.end(`${body}\n`);
  }

  isStarted(): boolean {
    return this.#response.headersSent;
  }
}
