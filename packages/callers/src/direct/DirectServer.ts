import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  AnswerBudget,
  BodyBuffer,
  fail,
  hasValidHeaderNames,
  type BodyBudget,
  type Clock,
  type RequestHead,
} from '@limpetbay/core';
import { InputLimits, RealClock, bindServer } from '@limpetbay/runtime';
import { OpenAnswers } from '../answer/OpenAnswers.js';
import type { CallerConnection } from '../connection/CallerConnection.js';
import { CallerConnections } from '../connection/CallerConnections.js';
import type { ClosedRequest } from '../connection/ClosedRequest.js';
import { ConnectionMonitor } from '../connection/ConnectionMonitor.js';
import type { OpenRequest } from '../connection/OpenRequest.js';
import { DirectAnswer } from './DirectAnswer.js';
import type { DirectHandler } from './DirectHandler.js';
import type { DroppedAnswer } from './DroppedAnswer.js';

interface DirectServerOptions {
  readonly host: string;
  readonly port: number;
  readonly handler: DirectHandler;
  /** Parses the head of a request. */
  readonly readHead: (message: IncomingMessage) => RequestHead;
  /** Returns the largest body that is accepted, bytes. */
  readonly getMaxBodyBytes: () => number;
  /** Limits the memory of incomplete bodies and of answers that callers have not read. */
  readonly bodyBudget: BodyBudget;
  /** Limits the memory of answers that callers have not read; only by `bodyBudget` by default. */
  readonly answerBudget?: AnswerBudget;
  /** Limits what all connections hold, apart from bodies and answers; its own by default. */
  readonly inputs?: InputLimits;
  /** Called for each request that ends without an answer, or that this server refuses. */
  readonly onClosed?: (closed: ClosedRequest) => void;
  /** Clock of the times of requests; `RealClock` by default. */
  readonly clock?: Clock;
  /** Most bytes of the heads of all open requests; no limit by default. */
  readonly maxHeadBytes?: number;
  /** Called when an answer is broken off because of its memory, or because it is not read. */
  readonly onAnswerDropped?: (dropped: DroppedAnswer) => void;
  /** Called when a connection beyond the limit is closed. */
  readonly onConnectionDropped?: () => void;
  /** Called when a connection is closed after its answer, because many are open. */
  readonly onConnectionUnkept?: () => void;
}

/** Largest request head; above the limit of any configuration. */
const MAX_HEAD_BYTES = 65_536;

/** Heads up to this size are accepted in any case. */
const SMALL_HEAD_BYTES = 4096;

/** Idle timeout before the first configuration. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

/** Timeout for the head of a request before the first configuration. */
const DEFAULT_HEAD_TIMEOUT_MS = 10_000;

/** Retry-After while the entry stops; short, because other entries are available at once. */
const LEAVING_RETRY_AFTER_MS = 20;

/** Retry-After of a request whose body had no space among those of others. */
const NO_SPACE_RETRY_AFTER_MS = 500;

/** Share of the connections that may be kept open after their answers; the rest is for new callers. */
const KEPT_SHARE = 0.9;

/** Interval at which connections are checked for the head timeout. */
const HEAD_TIMEOUT_CHECK_INTERVAL_MS = 1000;

/** Serves callers over HTTP/1.1 and passes complete requests to a handler. */
export class DirectServer {
  readonly #options: DirectServerOptions;

  readonly #server: Server;

  readonly #clock: Clock;

  #isDraining = false;

  readonly #answers = new OpenAnswers();

  readonly #connections: CallerConnections;

  readonly #monitor: ConnectionMonitor;

  /** Bytes of the heads of all open requests. */
  #headBytes = 0;

  /** Answers to requests whose bodies have not arrived completely. */
  readonly #incomplete = new Map<ServerResponse, DirectAnswer>();

  constructor(options: DirectServerOptions) {
    this.#options = options;
    this.#clock = options.clock ?? new RealClock();
    const answerBudget = options.answerBudget ?? new AnswerBudget(options.bodyBudget, this.#clock);
    this.#server = createServer(
      {
        maxHeaderSize: MAX_HEAD_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        headersTimeout: DEFAULT_HEAD_TIMEOUT_MS,
        connectionsCheckingInterval: HEAD_TIMEOUT_CHECK_INTERVAL_MS,
        requestTimeout: 0,
        noDelay: true,
      },
      (message, response) => {
        const connection = this.#connections.addRequest(message, response);
        const isLast = (): boolean => !this.#isKept(connection, response);
        const answer = new DirectAnswer(response, isLast, {
          clock: this.#clock,
          budget: answerBudget,
          getIdleTimeoutMs: () => this.#server.keepAliveTimeout,
          onDropped: (dropped) => options.onAnswerDropped?.(dropped),
          onEnded: () => this.#monitor.markEnded(response),
        });
        this.#answerErrors(response, answer, () =>
          this.#readRequest(message, response, answer, connection),
        );
      },
    );
    this.#connections = new CallerConnections(
      this.#server,
      options.inputs ?? new InputLimits({ clock: this.#clock }),
    );
    this.#monitor = new ConnectionMonitor(this.#server, {
      clock: this.#clock,
      readId: (message) => options.readHead(message).id,
      onClosed: (closed) => options.onClosed?.(closed),
    });
    this.#server.on('drop', () => options.onConnectionDropped?.());
  }

  /**
   * Sets the most open connections; others are closed when they are accepted. Before that, connections
   * are closed after their answers.
   */
  setMaxConnections(maxConnections: number): void {
    this.#server.maxConnections = maxConnections;
  }

  /**
   * Tries once to listen; may be called again if the address cannot be used.
   *
   * @param onError called for errors of the server while it listens
   * @throws if the address cannot be used
   */
  bind(onError: (error: Error) => void): Promise<void> {
    return bindServer(this.#server, this.#options.host, this.#options.port, onError);
  }

  /**
   * Sets the timeouts, milliseconds.
   *
   * @param idleTimeoutMs maximum idle time of a connection, and between two chunks of a body
   * @param headTimeoutMs maximum time for the head of a request
   */
  setTimeouts(idleTimeoutMs: number, headTimeoutMs: number): void {
    this.#server.keepAliveTimeout = idleTimeoutMs;
    this.#server.headersTimeout = headTimeoutMs;
  }

  /** Returns the number of requests without a complete answer, or one that may still be lost. */
  countRequests(): number {
    return this.#answers.count() + this.#connections.countClosing();
  }

  /** Lists the requests without a complete answer. */
  listOpenRequests(): OpenRequest[] {
    return this.#monitor.listOpenRequests();
  }

  /** Returns the number of open connections of callers. */
  countConnections(): number {
    return this.#monitor.countConnections();
  }

  /** Returns the number of bytes of answers that callers have not taken. */
  countUnsentBytes(): number {
    return this.#monitor.countUnsentBytes();
  }

  /** Closes every connection after its next answer, so that callers open new ones elsewhere. */
  drain(): void {
    this.#isDraining = true;
  }

  /** Returns whether a connection stays open after an answer. */
  #isKept(connection: CallerConnection, response: ServerResponse): boolean {
    if (connection.hasFollowing(response)) return true;
    if (this.#isDraining) return false;
    const { maxConnections = Infinity } = this.#server;
    if (this.countConnections() <= maxConnections * KEPT_SHARE) return true;
    this.#options.onConnectionUnkept?.();
    return false;
  }

  /** Stops listening and closes idle connections; requests in progress continue. */
  close(): void {
    this.#answers.callWhenWritten(() => this.#server.close());
  }

  /** Refuses the requests whose bodies have not arrived completely; none of them has run. */
  refuseIncompleteRequests(): void {
    const failure = fail(
      'leaving',
      'this entry is stopping; use another one',
      LEAVING_RETRY_AFTER_MS,
    );
    for (const [response, answer] of this.#incomplete) {
      if (response.headersSent) continue;
      this.#monitor.mark(response, 'stop');
      answer.fail(failure.val);
    }
  }

  #readRequest(
    message: IncomingMessage,
    response: ServerResponse,
    answer: DirectAnswer,
    connection: CallerConnection,
  ): void {
    if (!hasValidHeaderNames(message.rawHeaders)) {
      this.#monitor.mark(response, 'bad_request');
      answer.failAndClose(fail('bad_request', 'a header name is not valid').val);
      return;
    }
    const headBytes = countHeadBytes(message);
    const { maxHeadBytes = Infinity } = this.#options;
    if (headBytes > SMALL_HEAD_BYTES && this.#headBytes + headBytes > maxHeadBytes) {
      const reason = 'too many requests with large heads';
      this.#monitor.mark(response, 'heads_too_large');
      answer.failAndClose(fail('overloaded', reason, NO_SPACE_RETRY_AFTER_MS).val);
      return;
    }
    const head = this.#options.readHead(message);
    const body = new BodyBuffer({
      maxBytes: this.#options.getMaxBodyBytes(),
      budget: this.#options.bodyBudget,
      onEvicted: () => {
        this.#monitor.mark(response, 'body_evicted');
        refuse('overloaded', 'too many bodies arrive', NO_SPACE_RETRY_AFTER_MS);
      },
    });
    const refuse = (...reason: Parameters<typeof fail>): void => {
      body.clear();
      if (!response.headersSent) answer.fail(fail(...reason).val);
    };
    let cancel: (() => void) | null = null;
    this.#answers.add(response);
    this.#headBytes += headBytes;
    this.#incomplete.set(response, answer);
    response.on('close', () => {
      this.#incomplete.delete(response);
      body.clear();
      answer.release();
      this.#headBytes -= headBytes;
      if (!response.writableFinished) cancel?.();
    });
    const failSlowBody = (): void => {
      const { bytesRead } = message.socket;
      // Timers run before sockets are read, so more of the body may have arrived.
      setImmediate(() => {
        if (message.complete || response.headersSent || response.destroyed) return;
        const hasProgress = message.socket.bytesRead !== bytesRead || connection.hasUnparsed();
        if (hasProgress) bodyTimer.refresh();
        else {
          this.#monitor.mark(response, 'body_timeout');
          answer.failAndClose(fail('request_too_slow', 'body timeout').val);
        }
      });
    };
    const bodyTimer = setTimeout(failSlowBody, this.#server.keepAliveTimeout);
    message.on('close', () => clearTimeout(bodyTimer));
    // Node.js does not report the close of a message whose answer was sent before its end.
    response.on('close', () => clearTimeout(bodyTimer));
    // What arrives together is read in one piece, because each chunk takes more than its bytes.
    message.on('readable', () => {
      const chunk = message.read() as Buffer | null;
      if (chunk === null) return;
      if (response.headersSent || response.destroyed) return;
      bodyTimer.refresh();
      if (body.append(chunk)) return;
      this.#monitor.mark(response, 'body_too_large');
      refuse('body_too_large', 'the body exceeds the size limit');
    });
    message.on('end', () => {
      clearTimeout(bodyTimer);
      this.#incomplete.delete(response);
      const receivedMs = this.#clock.getNow();
      connection.runInTurn(response, () => {
        if (response.headersSent || response.destroyed) return;
        this.#answerErrors(response, answer, () => {
          cancel = this.#options.handler.acceptRequest(head, body.take(), answer, receivedMs);
        });
      });
    });
  }

  /** Runs a step of a request. If it throws, the caller gets 500; the error goes to the process. */
  #answerErrors(response: ServerResponse, answer: DirectAnswer, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#monitor.mark(response, 'internal_error');
      if (answer.isStarted()) answer.destroy();
      else answer.failAndClose(fail('internal', 'the request could not be handled').val);
      throw error;
    }
  }
}

function countHeadBytes({ url = '', rawHeaders }: IncomingMessage): number {
  let bytes = url.length;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}
