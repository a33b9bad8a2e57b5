import type { ServerResponse } from 'node:http';
import { answerTable, type Failure } from '@limpetbay/core';
import { abortResponse } from '../answer/abortResponse.js';
import { toErrorBody } from '../answer/toErrorBody.js';

const MS_PER_SECOND = 1000;

/** Writes an answer to a caller; bodies of targets are forwarded byte for byte. */
export class DirectAnswer {
  readonly #response: ServerResponse;

  /** Whether the connection is closed after the answer, because the entry is leaving. */
  readonly #isLast: () => boolean;

  constructor(response: ServerResponse, isLast: () => boolean) {
    this.#response = response;
    this.#isLast = isLast;
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
    this.#response.write(data);
  }

  /** Returns the number of bytes that the caller's connection has not taken yet. */
  countUnsentBytes(): number {
    return this.#response.writableLength;
  }

  /** Sends the last part of the body and ends the answer. */
  end(data: Uint8Array): void {
    this.#response.end(data);
  }

  /** Sends a complete answer. @param headers as for `start` */
  send(status: number, headers: readonly string[], body: Uint8Array): void {
    this.start(status, [...headers, 'Content-Length', String(body.length)]);
    this.#response.end(body);
  }

  /** Closes the connection, so that the caller cannot mistake the answer for a complete one. */
  destroy(): void {
    abortResponse(this.#response);
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
    this.send(answerTable[failure.kind].status, rawHeaders, body);
  }
}
