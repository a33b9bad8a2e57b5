import type { Socket } from 'node:net';
import { Client, buildConnector, type Dispatcher } from 'undici';
import { isNeverSent } from '../http/isNeverSent.js';
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

/** The pool decides how long a connection stays idle; this only bounds forgotten ones. */
const IDLE_TIMEOUT_MS = 30_000;

/**
 * One connection to a target with at most one request on it. It is closed after every answer that
 * is not whole, so that late bytes never meet another request.
 */
export class DirectChannel {
  readonly #client: Client;

  readonly #events: ChannelEvents;

  /** Whether the connection ended by a reset; undici takes such an end for a regular one. */
  #isReset = false;

  #isBusy = false;

  #isClosed = false;

  constructor(address: string, events: ChannelEvents) {
    this.#events = events;
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEPALIVE_MS,
    });
    this.#client = new Client(`http://${address}`, {
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [error, socket] = result;
          if (error === null) this.#watchSocket(socket);
          callback(...result);
        }),
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      pipelining: 1,
    });
    this.#client.on('disconnect', () => this.close());
  }

  isBusy(): boolean {
    return this.#isBusy;
  }

  /** Sends a call. @returns a function that gives the call up and closes the connection */
  send(call: DirectCall, listener: DirectListener): () => void {
    this.#isBusy = true;
    let isOver = false;
    const fail = (message: string, neverSent: boolean): void => {
      if (isOver) return;
      isOver = true;
      this.close();
      listener.acceptFailure(message, neverSent);
    };
    const finish = (isUnframed: boolean): void => {
      if (isOver) return;
      if (isUnframed && this.#isReset) {
        fail('the connection was reset before the end of the answer', false);
        return;
      }
      isOver = true;
      this.#isBusy = false;
      listener.acceptEnd();
      if (!this.#isClosed) this.#events.onIdle();
    };
    this.#client.dispatch(
      toOptions(call),
      createHandler(listener, () => isOver, finish, fail),
    );
    return () => {
      isOver = true;
      this.close();
    };
  }

  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    void this.#client.destroy();
    this.#events.onClosed();
  }

  #watchSocket(socket: Socket): void {
    socket.setNoDelay(true);
    socket.prependListener('error', () => {
      this.#isReset = true;
    });
  }
}

function toOptions(call: DirectCall): Dispatcher.DispatchOptions {
  return {
    path: call.url,
    method: call.method,
    headers: call.headers as string[],
    body: call.body,
    // undici would send an idempotent request again after a broken connection.
    idempotent: false,
  };
}

function createHandler(
  listener: DirectListener,
  isOver: () => boolean,
  finish: (isUnframed: boolean) => void,
  fail: (message: string, neverSent: boolean) => void,
): Dispatcher.DispatchHandler {
  let isUnframed = false;
  return {
    onRequestStart: () => {},
    onResponseStart: (_controller, status, headers) => {
      if (isOver() || status < 200) return;
      isUnframed =
        headers['content-length'] === undefined && headers['transfer-encoding'] === undefined;
      listener.acceptHead(status, headers);
    },
    onResponseData: (_controller, chunk) => {
      if (!isOver()) listener.acceptData(chunk);
    },
    onResponseEnd: () => finish(isUnframed),
    onResponseError: (_controller, error) => fail(error.message, isNeverSent(error)),
  };
}
