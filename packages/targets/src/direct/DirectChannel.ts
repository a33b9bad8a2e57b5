import { Agent, request as openRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { splitAddress } from '@limpetbay/core';
import type { DirectCall } from './DirectCall.js';
import type { DirectListener } from './DirectListener.js';

interface ChannelEvents {
  /** The channel can take the next call. */
  readonly onIdle: () => void;
  /** The channel is closed and must not be used again. */
  readonly onClosed: () => void;
}

/** Within a region a connection takes a few milliseconds; a lost first packet takes a second. */
const CONNECT_TIMEOUT_MS = 1300;

/** Short enough that a peer without power is noticed within seconds. */
const TCP_KEEPALIVE_MS = 1000;

const FIRST_FINAL_STATUS = 200;

/** Errors of a write to a connection that was reset. */
const RESET_CODES = new Set(['EPIPE', 'ECONNRESET', 'ENOTCONN']);

/** Time in which the error of a write to a reset connection is reported, milliseconds. */
const PROBE_MS = 2;

/**
 * One connection to a target with at most one request on it. It is closed after every answer that
 * is not whole and after every byte that belongs to no answer, so that late bytes never meet
 * another request.
 */
export class DirectChannel {
  readonly #host: string;

  readonly #port: number;

  readonly #events: ChannelEvents;

  /** Keeps the one connection open between calls. */
  readonly #agent = new Agent({
    keepAlive: true,
    keepAliveMsecs: TCP_KEEPALIVE_MS,
    maxSockets: 1,
    maxFreeSockets: 1,
  });

  #socket: Socket | null = null;

  /** Whether the connection ended by a reset; an answer without a length is then not whole. */
  #isReset = false;

  #isClosed = false;

  readonly #closeOnData = (): void => this.close();

  /** @param address `IP:PORT` */
  constructor(address: string, events: ChannelEvents) {
    const { host, port } = splitAddress(address);
    this.#host = host;
    this.#port = port;
    this.#events = events;
    this.#agent.on('free', (socket: Socket) => socket.on('data', this.#closeOnData));
  }

  /** Sends a call. @returns a function that gives the call up and closes the connection */
  send(call: DirectCall, listener: DirectListener): () => void {
    let isOver = false;
    let isConnected = this.#socket !== null;
    const fail = (message: string): void => {
      if (isOver) return;
      isOver = true;
      this.close();
      listener.acceptFailure(message, !isConnected);
    };
    const request = openRequest({
      agent: this.#agent,
      host: this.#host,
      port: this.#port,
      method: call.method,
      path: call.url,
      headers: this.#listHeaders(call),
    });
    request.on('socket', (socket) => {
      this.#watchSocket(socket);
      socket.removeListener('data', this.#closeOnData);
      if (!socket.connecting) return;
      const timer = setTimeout(
        () => fail('the connection was not established'),
        CONNECT_TIMEOUT_MS,
      );
      socket.once('connect', () => {
        clearTimeout(timer);
        isConnected = true;
      });
      socket.once('close', () => clearTimeout(timer));
    });
    request.on('error', (error) => fail(error.message));
    request.on('response', (response) => {
      if (isOver || (response.statusCode ?? 0) < FIRST_FINAL_STATUS) return;
      listener.acceptHead(response.statusCode ?? 0, response.headers);
      response.on('data', (data: Buffer) => {
        if (!isOver) listener.acceptData(data);
      });
      response.on('error', (error) => fail(error.message));
      response.on('close', () => {
        if (!response.complete) fail('the connection closed before the end of the answer');
      });
      const finish = (): void => {
        if (isOver) return;
        if (!response.complete || this.#isReset) {
          fail('the connection was reset before the end of the answer');
          return;
        }
        isOver = true;
        listener.acceptEnd();
        if (!this.#isClosed) this.#events.onIdle();
      };
      const isFramed = hasFraming(response);
      if (!isFramed) {
        response.socket.prependListener('end', () => this.#probeReset(response.socket));
      }
      response.on('end', () => {
        if (isFramed) finish();
        else setTimeout(finish, PROBE_MS);
      });
    });
    request.end(call.body ?? undefined);
    return () => {
      isOver = true;
      this.close();
    };
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.#agent.destroy();
    this.#socket?.destroy();
    this.#events.onClosed();
  }

  /**
   * Makes a reset show that came in one poll with the last bytes: libuv reports it as a regular
   * end, but a write to the connection fails. A target that ended regularly ignores the empty line.
   */
  #probeReset(socket: Socket): void {
    socket.write('\r\n', (error) => {
      const { code } = (error ?? {}) as { code?: string };
      if (code !== undefined && RESET_CODES.has(code)) this.#isReset = true;
    });
  }

  #listHeaders({ method, headers, body }: DirectCall): string[] {
    const isNamed = headers.some((name, at) => at % 2 === 0 && name.toLowerCase() === 'host');
    const list = isNamed ? [...headers] : ['Host', `${this.#host}:${this.#port}`, ...headers];
    if (body !== null || method !== 'GET') list.push('Content-Length', String(body?.length ?? 0));
    return list;
  }

  #watchSocket(socket: Socket): void {
    if (this.#socket === socket) return;
    this.#socket = socket;
    socket.setNoDelay(true);
    socket.prependListener('error', () => {
      this.#isReset = true;
    });
    socket.once('close', () => this.close());
  }
}

function hasFraming({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
