import type { ServerResponse } from 'node:http';
import { answerTable, type Failure, type Header } from '@limpetbay/core';
import type { CallerAnswer } from './CallerAnswer.js';
import { toErrorBody } from './toErrorBody.js';

const MS_PER_SECOND = 1000;

/** Writes an answer on an HTTP connection. */
export class HttpCallerAnswer implements CallerAnswer {
  readonly #response: ServerResponse;

  /** Whether the connection is closed after the answer, because the entry is leaving. */
  readonly #isLeaving: () => boolean;

  #isEventStream = false;

  constructor(response: ServerResponse, isLeaving: () => boolean) {
    this.#response = response;
    this.#isLeaving = isLeaving;
  }

  start(status: number, headers: readonly Header[]): void {
    const fields: string[] = [];
    for (const { name, value } of headers) {
      fields.push(name, value);
      if (name.toLowerCase() === 'content-type') this.#isEventStream = /event-stream/.test(value);
    }
    if (this.#isLeaving()) fields.push('Connection', 'close');
    this.#response.writeHead(status, fields);
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
      // Node sends the final chunk only on end(), so destroying leaves the answer incomplete. The
      // error event is written first and gets one turn of the loop to leave.
      setImmediate(() => this.#response.destroy());
      return;
    }
    const headers: Header[] = [{ name: 'Content-Type', value: 'application/json' }];
    if (failure.retryAfterMs !== undefined) {
      const seconds = Math.ceil(failure.retryAfterMs / MS_PER_SECOND);
      headers.push({ name: 'Retry-After', value: String(seconds) });
    }
    this.start(answerTable[failure.kind].status, headers);
    this.#response.end(`${body}\n`);
  }

  isStarted(): boolean {
    return this.#response.headersSent;
  }
}
