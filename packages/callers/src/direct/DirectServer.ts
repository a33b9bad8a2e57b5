import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { fail, type RequestHead } from '@limpetbay/core';
import { DirectAnswer } from './DirectAnswer.js';
import type { DirectHandler } from './DirectHandler.js';

interface DirectServerOptions {
  readonly host: string;
  readonly port: number;
  readonly handler: DirectHandler;
  /** Reads what the entry needs from the head of a request. */
  readonly readHead: (message: IncomingMessage) => RequestHead;
  /** Largest body that is read, bytes. */
  readonly getMaxBodyBytes: () => number;
}

/** Largest request head, bytes; above what any configuration allows callers. */
const MAX_HEADER_BYTES = 65_536;

/** Idle time until a configuration states one, milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Time for the head of a request until a configuration states one, milliseconds. */
const DEFAULT_HEAD_TIMEOUT_MS = 10_000;

/** Interval at which connections are checked against the time for a head, milliseconds. */
const CHECK_INTERVAL_MS = 1000;

/** Serves callers over HTTP/1.1 and hands whole requests to a handler. */
export class DirectServer {
  readonly #options: DirectServerOptions;

  readonly #server: Server;

  #isLeaving = false;

  #requests = 0;

  constructor(options: DirectServerOptions) {
    this.#options = options;
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
        connectionsCheckingInterval: CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => this.#accept(message, response),
    );
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#options.port, this.#options.host, resolve);
    });
  }

  /**
   * @param idleTimeoutMs how long a connection may stay idle, or a body without a further byte
   * @param headTimeoutMs how long the head of a request may take
   */
  setTimeouts(idleTimeoutMs: number, headTimeoutMs: number): void {
    this.#server.keepAliveTimeout = idleTimeoutMs;
    this.#server.headersTimeout = headTimeoutMs;
  }

  /** Returns the number of requests that have no whole answer yet. */
  countRequests(): number {
    return this.#requests;
  }

  /** From now on every answer asks the caller to use another connection. */
  drain(): void {
    this.#isLeaving = true;
  }

  close(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  #accept(message: IncomingMessage, response: ServerResponse): void {
    const answer = new DirectAnswer(response, () => this.#isLeaving);
    const head = this.#options.readHead(message);
    const chunks: Buffer[] = [];
    let bytes = 0;
    let cancel: (() => void) | null = null;
    this.#requests += 1;
    response.on('close', () => {
      this.#requests -= 1;
      if (!response.writableFinished) cancel?.();
    });
    const timer = setTimeout(() => {
      if (!response.headersSent) answer.refuseSlow(fail('request_too_slow', 'body too slow').val);
    }, this.#server.keepAliveTimeout);
    message.on('close', () => clearTimeout(timer));
    message.on('data', (chunk: Buffer) => {
      timer.refresh();
      bytes += chunk.length;
      if (bytes <= this.#options.getMaxBodyBytes()) chunks.push(chunk);
      else if (!response.headersSent) {
        answer.fail(fail('body_too_large', 'body too large').val);
      }
    });
    message.on('end', () => {
      clearTimeout(timer);
      if (response.headersSent || response.destroyed) return;
      cancel = this.#options.handler.acceptRequest(head, Buffer.concat(chunks), answer);
    });
  }
}
