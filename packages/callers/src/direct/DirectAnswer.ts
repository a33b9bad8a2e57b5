import type { ServerResponse } from 'node:http';
import { answerTable, type Failure } from '@limpetbay/core';
import { toErrorBody } from '../answer/toErrorBody.js';

const MS_PER_SECOND = 1000;

/** Writes the answer to a caller that expects the bytes of the target unchanged. */
export class DirectAnswer {
  readonly #response: ServerResponse;

  /** Whether the connection is closed after the answer, because the entry is leaving. */
  readonly #isLeaving: () => boolean;

  constructor(response: ServerResponse, isLeaving: () => boolean) {
    this.#response = response;
    this.#isLeaving = isLeaving;
  }

  isStarted(): boolean {
    return this.#response.headersSent;
  }

  /** Sends status and headers. @param headers name and value in turn */
  start(status: number, headers: readonly string[]): void {
    const fields = [...headers];
    if (this.#isLeaving()) fields.push('Connection', 'close');
    this.#response.writeHead(status, fields);
  }

  write(data: Uint8Array): void {
    this.#response.write(data);
  }

  /** Ends an answer that was started. */
  end(data: Uint8Array): void {
    this.#response.end(data);
  }

  /** Sends a whole answer at once. @param headers as for `start` */
  send(status: number, headers: readonly string[], body: Uint8Array): void {
    this.start(status, [...headers, 'Content-Length', String(body.length)]);
    this.#response.end(body);
  }

  /** Closes the connection so that the caller cannot take the answer for a whole one. */
  destroy(): void {
    this.#response.destroy();
  }

  /** Answers with an error to a caller that has stopped sending, and closes the connection. */
  refuseSlow(failure: Failure): void {
    this.#response.once('finish', () => this.#response.destroy());
    this.fail(failure, ['Connection', 'close']);
  }

  /** Answers with an error of the closed list. @param headers further headers, as for `start` */
  fail(failure: Failure, headers: readonly string[] = []): void {
    const body = Buffer.from(`${JSON.stringify(toErrorBody(failure))}\n`);
    const fields = [...headers, 'Content-Type', 'application/json'];
    if (failure.retryAfterMs !== undefined) {
      fields.push('Retry-After', (failure.retryAfterMs / MS_PER_SECOND).toFixed(3));
    }
    this.send(answerTable[failure.kind].status, fields, body);
  }
}
