import { STATUS_CODES, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ConnectionInput, InputLimits } from '@limpetbay/runtime';

interface OpenRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
}

/**
 * Longest time that a connection is read after its last answer. The system resets a connection that
 * is closed with unread bytes, and the caller may then lose the answer.
 */
const MAX_LINGER_MS = 1000;

/**
 * Most requests without a complete answer on one connection. Those behind the first one wait in
 * memory; later ones are not read before it is answered.
 */
const MAX_OPEN_REQUESTS = 8;

const BAD_REQUEST = 400;

const METHOD_NOT_ALLOWED = 405;

const REQUEST_TIMEOUT = 408;

const TOO_MANY_REQUESTS = 429;

/** Retry-After of a request whose connection held too much, seconds. */
const RETRY_AFTER_SECONDS = '0.5';

const ERROR_STATUSES: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};

/**
 * One connection of a caller, with the requests on it that have no complete answer. Node.js hands
 * over a request while the answer before it is open, and ends the connection for errors and timeouts
 * of the bytes behind a request; both would drop a request that a target runs.
 */
export class CallerConnection {
  readonly #socket: Socket;

  readonly #input: ConnectionInput;

  /** In the order of their arrival. */
  readonly #open: OpenRequest[] = [];

  #requestCount = 0;

  /** Whether the head of a request was late behind a request without an answer. */
  #isHeadLate = false;

  #isInputDiscarded = false;

  #isClosing = false;

  /** Returns the longest time that a connection without a request stays open, milliseconds. */
  readonly #getIdleTimeoutMs: () => number;

  /** @param inputs limits what all connections hold together */
  constructor(socket: Socket, inputs: InputLimits, getIdleTimeoutMs: () => number) {
    this.#socket = socket;
    this.#input = inputs.open(socket, {
      server: 'callers',
      maxOpenRequests: MAX_OPEN_REQUESTS,
      countsAnswers: false,
      onEvicted: () => this.#refuseWaiting(),
    });
    this.#getIdleTimeoutMs = getIdleTimeoutMs;
    // Node.js calls it after an answer that ends the connection.
    Object.assign(socket, { destroySoon: () => this.closeGracefully() });
    socket.on('close', () => {
      // Node.js reports the end of the connection only to the answer that is being written.
      for (const { response } of [...this.#open]) {
        if (response.socket === null) response.emit('close');
      }
    });
  }

  /** Adds a request whose head has arrived. */
  addRequest(message: IncomingMessage, response: ServerResponse): void {
    this.#requestCount += 1;
    this.#input.addRequest(message, response);
    this.#isHeadLate = false;
    // Node.js clears only the idle timeout that it has set itself.
    if (this.#requestCount === 1) this.#socket.setTimeout(0);
    const request = { message, response };
    this.#open.push(request);
    response.on('close', () => this.#removeRequest(request));
  }

  /**
   * Runs a request once the answers before it are complete. It does not run if one of them ends the
   * connection.
   */
  runInTurn(response: ServerResponse, run: () => void): void {
    if (response.socket !== null) run();
    else response.once('socket', run);
  }

  /** Returns whether a request has arrived behind another one. */
  hasFollowing(response: ServerResponse): boolean {
    if (this.#open.length === 0) return false;
    return this.#open[this.#open.length - 1]?.response !== response || this.hasUnparsed();
  }

  /** Returns whether bytes have arrived that wait for their turn to be parsed. */
  hasUnparsed(): boolean {
    return this.#input.hasUnparsed();
  }

  /** Returns whether the last answer is written, and the caller has not closed its side yet. */
  isClosing(): boolean {
    return this.#isClosing;
  }

  /** Ends the sending side and reads what still arrives, until the caller closes its side. */
  closeGracefully(): void {
    if (this.#isClosing || this.#socket.destroyed) return;
    this.#isClosing = true;
    this.#discardInput();
    this.#socket.end(() => {
      const timer = setTimeout(() => this.#socket.destroy(), MAX_LINGER_MS);
      this.#socket.once('close', () => clearTimeout(timer));
    });
  }

  /** Closes the connection, unless it has a request or one arrived that was not read yet. */
  closeIfIdle(): void {
    const { bytesRead } = this.#socket;
    // Timers run before sockets are read.
    setImmediate(() => {
      if (this.#open.length > 0 || this.hasUnparsed()) return;
      if (this.#socket.bytesRead === bytesRead) this.#socket.destroy();
    });
  }

  /** Handles an error or a timeout of the bytes that arrive. */
  handleError(error: NodeJS.ErrnoException): void {
    const { code = '' } = error;
    if (code === 'ERR_HTTP_REQUEST_TIMEOUT') this.#handleLateInput();
    else if (!code.startsWith('HPE_')) this.#socket.destroy(error);
    else if (!this.#isInputDiscarded) this.#failInput(ERROR_STATUSES[code] ?? BAD_REQUEST);
  }

  /** Answers a `CONNECT` request, at which Node.js has detached its handlers. */
  rejectTunnel(): void {
    this.#socket.on('error', () => this.#socket.destroy());
    this.#failInput(METHOD_NOT_ALLOWED);
  }

  /**
   * Refuses what has not run and ends the connection after the open answer, because it holds most of
   * what all connections hold.
   */
  #refuseWaiting(): void {
    for (const { message, response } of this.#open) {
      if (response.socket !== null || !message.complete || response.headersSent) continue;
      response.writeHead(TOO_MANY_REQUESTS, ['Retry-After', RETRY_AFTER_SECONDS]).end();
    }
    this.#failInput(TOO_MANY_REQUESTS);
  }

  #handleLateInput(): void {
    const count = this.#requestCount;
    const last = this.#getIncomplete();
    // Timers run before sockets are read, so the rest may have arrived.
    setImmediate(() => {
      if (this.#requestCount !== count || last?.message.complete || this.#socket.destroyed) return;
      if (this.#socket.bytesRead === 0) this.#socket.setTimeout(this.#getIdleTimeoutMs());
      else if (last === null && this.#open.length > 0) this.#isHeadLate = true;
      else this.#failInput(REQUEST_TIMEOUT);
    });
  }

  /** Answers the request that is not complete with an error, and closes the connection. */
  #failInput(status: number): void {
    if (this.#isClosing || !this.#socket.writable) return;
    const last = this.#open[this.#open.length - 1];
    const incomplete = this.#getIncomplete();
    if (last === undefined) {
      const reason = STATUS_CODES[status] ?? '';
      const retry = status === TOO_MANY_REQUESTS ? `Retry-After: ${RETRY_AFTER_SECONDS}\r\n` : '';
      this.#socket.write(`HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\n${retry}\r\n`);
      this.closeGracefully();
      return;
    }
    this.#discardInput();
    if (incomplete !== null && !incomplete.response.headersSent) {
      const headers = ['Connection', 'close'];
      if (status === TOO_MANY_REQUESTS) headers.push('Retry-After', RETRY_AFTER_SECONDS);
      incomplete.response.writeHead(status, headers).end();
    } else last.response.once('close', () => this.closeGracefully());
  }

  /** Returns the request whose body has not arrived completely. */
  #getIncomplete(): OpenRequest | null {
    const last = this.#open[this.#open.length - 1];
    return last === undefined || last.message.complete ? null : last;
  }

  /** Detaches the parser. What arrives is still read, so that the end of the caller is noticed. */
  #discardInput(): void {
    if (this.#isInputDiscarded) return;
    this.#isInputDiscarded = true;
    this.#input.discard();
    this.#socket.once('end', () => {
      if (this.#open.length > 0) this.#socket.destroy();
    });
  }

  #removeRequest(request: OpenRequest): void {
    const index = this.#open.indexOf(request);
    if (index >= 0) this.#open.splice(index, 1);
    if (this.#isHeadLate && this.#open.length === 0) this.#handleLateInput();
  }
}
