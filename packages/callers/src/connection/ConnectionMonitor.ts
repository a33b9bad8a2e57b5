import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@limpetbay/core';
import type { CloseCause } from './CloseCause.js';
import type { ClosedRequest } from './ClosedRequest.js';
import type { OpenRequest } from './OpenRequest.js';
import type { RequestProgress } from './RequestProgress.js';

interface ConnectionMonitorOptions {
  readonly clock: Clock;
  /** Returns the id of a request; empty if it has none. */
  readonly readId: (message: IncomingMessage) => string;
  /** Called for each request that ends without an answer, or with a marked cause. */
  readonly onClosed: (closed: ClosedRequest) => void;
}

interface ConnectionState {
  /** Bytes of the requests that were read completely. */
  readBytes: number;
  openCount: number;
  /** Whether the last answer ends the connection; what arrives after it is no request. */
  hasLastAnswer: boolean;
  hasEnded: boolean;
  hasTimedOut: boolean;
  error: NodeJS.ErrnoException | null;
  /** Whether the error was reported with a request. */
  isReported: boolean;
}

interface RequestState {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  readonly startMs: number;
  /** Bytes that the connection had taken before. */
  readonly earlierBytes: number;
  /** Why the server itself refused the request; null if it did not. */
  cause: CloseCause | null;
  /** Whether the answer is known completely; parts of it may wait to be sent. */
  isAnswerKnown: boolean;
}

/** Observes the connections of a server and tells why requests end without an answer. */
export class ConnectionMonitor {
  readonly #options: ConnectionMonitorOptions;

  readonly #connections = new Map<Socket, ConnectionState>();

  readonly #requests = new Map<ServerResponse, RequestState>();

  constructor(server: Server, options: ConnectionMonitorOptions) {
    this.#options = options;
    server.on('connection', (socket: Socket) => this.#addConnection(socket));
    server.on('timeout', (socket) => {
      const connection = this.#connections.get(socket);
      if (connection !== undefined) connection.hasTimedOut = true;
    });
    // Before the listener that closes the connection.
    server.prependListener('clientError', (error: NodeJS.ErrnoException, socket) => {
      const connection = this.#connections.get(socket as Socket);
      if (connection !== undefined) connection.error ??= error;
    });
    server.prependListener('request', (message, response) => this.#addRequest(message, response));
  }

  /** Marks a request that the server refuses itself. The first cause counts. */
  mark(response: ServerResponse, cause: CloseCause): void {
    const request = this.#requests.get(response);
    if (request !== undefined) request.cause ??= cause;
  }

  /** Marks a request whose answer is known completely. */
  markEnded(response: ServerResponse): void {
    const request = this.#requests.get(response);
    if (request !== undefined) request.isAnswerKnown = true;
  }

  /** Returns the number of open connections. */
  countConnections(): number {
    return this.#connections.size;
  }

  /** Returns the number of bytes of answers that callers have not taken. */
  countUnsentBytes(): number {
    let bytes = 0;
    for (const response of this.#requests.keys()) bytes += response.writableLength;
    return bytes;
  }

  listOpenRequests(): OpenRequest[] {
    const open: OpenRequest[] = [];
    for (const request of this.#requests.values()) open.push(this.#describe(request));
    return open;
  }

  #addConnection(socket: Socket): void {
    const connection: ConnectionState = {
      readBytes: 0,
      openCount: 0,
      hasLastAnswer: false,
      hasEnded: false,
      hasTimedOut: false,
      error: null,
      isReported: false,
    };
    this.#connections.set(socket, connection);
    socket.on('end', () => {
      connection.hasEnded = true;
    });
    socket.on('close', () => {
      this.#connections.delete(socket);
      // Requests that are open are reported with their answers, which close after the connection.
      if (connection.openCount > 0 || !hasPartialHead(socket, connection)) return;
      this.#options.onClosed({
        id: null,
        progress: 'head incomplete',
        sentBytes: 0,
        ms: 0,
        ...findCause(socket, connection),
      });
    });
  }

  #addRequest(message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message;
    const connection = this.#connections.get(socket);
    if (connection === undefined) return;
    const request: RequestState = {
      message,
      response,
      startMs: this.#options.clock.getNow(),
      earlierBytes: countSentBytes(socket),
      cause: null,
      isAnswerKnown: false,
    };
    connection.openCount += 1;
    connection.readBytes = socket.bytesRead;
    this.#requests.set(response, request);
    response.once('close', () => {
      this.#requests.delete(response);
      connection.openCount -= 1;
      connection.readBytes = socket.bytesRead;
      connection.hasLastAnswer ||= !response.shouldKeepAlive;
      // The answer to a request that could not be read is an error of the server.
      const isBroken = !message.complete && connection.error !== null;
      if (response.writableFinished && request.cause === null && !isBroken) return;
      const found = findCause(socket, connection);
      connection.isReported = true;
      this.#options.onClosed({
        ...this.#describe(request),
        cause: request.cause ?? found.cause,
        code: found.code,
      });
    });
  }

  /** A head that cannot be read is reported where its request is handled. */
  #readId(message: IncomingMessage): string | null {
    try {
      return this.#options.readId(message) || null;
    } catch {
      return null;
    }
  }

  #describe(request: RequestState): OpenRequest {
    const { message, startMs, earlierBytes } = request;
    return {
      id: this.#readId(message),
      progress: describeProgress(request),
      sentBytes: Math.max(0, countSentBytes(message.socket) - earlierBytes),
      ms: Math.round(this.#options.clock.getNow() - startMs),
    };
  }
}

function hasPartialHead(socket: Socket, connection: ConnectionState): boolean {
  const { error, isReported, hasLastAnswer, readBytes } = connection;
  if (socket.bytesRead === 0 || isReported) return false;
  if (error?.code?.startsWith('HPE_')) return true;
  return socket.bytesRead > readBytes && !hasLastAnswer;
}

function countSentBytes(socket: Socket): number {
  return socket.bytesWritten - socket.writableLength;
}

function describeProgress({ message, response, isAnswerKnown }: RequestState): RequestProgress {
  if (response.writableFinished) return 'answered';
  if (isAnswerKnown || response.writableEnded) return 'answer not sent completely';
  if (response.headersSent) return 'answer begun';
  return message.complete ? 'waits for an answer' : 'body incomplete';
}

function findCause(
  socket: Socket,
  connection: ConnectionState,
): { readonly cause: CloseCause; readonly code: string | null } {
  const error: NodeJS.ErrnoException | null = connection.error ?? socket.errored;
  const code = error?.code ?? null;
  return { cause: chooseCause(connection, code), code };
}

function chooseCause({ hasEnded, hasTimedOut }: ConnectionState, code: string | null): CloseCause {
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return 'head_timeout';
  // The parser reports the end of the connection in the middle of a request in this way.
  if (code === 'HPE_INVALID_EOF_STATE') return 'caller_closed';
  if (code?.startsWith('HPE_')) return 'parse_error';
  if (code !== null) return 'caller_reset';
  if (hasEnded) return 'caller_closed';
  return hasTimedOut ? 'idle_timeout' : 'answer_aborted';
}
