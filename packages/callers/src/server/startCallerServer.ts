import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fail, type Failure, type Result } from '@limpetbay/core';
import { InputLimits, RealClock, bindServer } from '@limpetbay/runtime';
import { HttpCallerAnswer } from '../answer/HttpCallerAnswer.js';
import { OpenAnswers } from '../answer/OpenAnswers.js';
import { abortResponse } from '../answer/abortResponse.js';
import { CallerConnections } from '../connection/CallerConnections.js';
import { parseRequest } from '../request/parseRequest.js';
import type { CallerHandler } from './CallerHandler.js';
import type { CallerServer } from './CallerServer.js';
import { readBody } from './readBody.js';

interface CallerServerOptions {
  readonly host: string;
  /** Port 0 uses a free port. */
  readonly port: number;
  /** Largest body that any service may allow, bytes. */
  readonly maxBodyBytes: number;
  /**
   * Time without progress after which the connection of a caller that does not read its answer is
   * closed, and maximum time to receive a request, milliseconds.
   */
  readonly writeTimeoutMs: number;
  /** Limits what all connections hold; its own by default. */
  readonly inputs?: InputLimits;
  /** Called for errors of the server while it listens. */
  readonly onError?: (error: Error) => void;
}

/** Starts the HTTP server for callers. @throws if the address cannot be used */
export async function startCallerServer(
  handler: CallerHandler,
  options: CallerServerOptions,
): Promise<CallerServer> {
  const answers = new OpenAnswers();
  const incomplete = new Set<HttpCallerAnswer>();
  const server = createServer((request, response) => {
    answers.add(response);
    const connection = connections.addRequest(request, response);
    const isLast = (): boolean => handler.isLeaving() && !connection.hasFollowing(response);
    const answer = new HttpCallerAnswer(response, isLast);
    if (serveEntryPath(handler, request, response, answer)) return;
    incomplete.add(answer);
    response.on('close', () => incomplete.delete(answer));
    const serveBody = (body: ReadRequest['body']): void => {
      incomplete.delete(answer);
      connection.runInTurn(response, () => {
        if (answer.isStarted() || response.destroyed) return;
        serveRequest({ handler, options, request, response, answer, body });
      });
    };
    void readBody(request, options.maxBodyBytes)
      .then(serveBody)
      .catch((error: unknown) => {
        answer.fail(fail('internal', 'the request could not be handled').val);
        throw error;
      });
  });
  const connections = new CallerConnections(
    server,
    options.inputs ?? new InputLimits({ clock: new RealClock() }),
  );
  server.requestTimeout = options.writeTimeoutMs;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
  });
  await bindServer(server, options.host, options.port, options.onError ?? (() => {}));
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${options.host}:${port}`,
    countAnswers: () => answers.count() + connections.countClosing(),
    drain: () => {
      const failure = fail('leaving', 'this entry is stopping; use another one', 0).val;
      for (const answer of incomplete) answer.fail(failure);
      return new Promise((resolve) => {
        answers.callWhenWritten(() => server.close(() => resolve()));
      });
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

interface ReadRequest {
  readonly handler: CallerHandler;
  readonly options: CallerServerOptions;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly answer: HttpCallerAnswer;
  readonly body: Result<Uint8Array, Failure>;
}

function serveRequest(read: ReadRequest): void {
  const { handler, options, request, response, answer, body } = read;
  if (body.err) {
    answer.fail(body.val);
    return;
  }
  const parsed = parseRequest(request, body.val);
  if (parsed.err) {
    answer.fail(parsed.val);
    return;
  }
  const cancel = handler.acceptRequest(parsed.val, answer);
  response.on('close', cancel);
  watchWriteProgress(response, options.writeTimeoutMs);
}

/** Answers `/v1/entries`, `/healthz` and `/metrics`. Returns false for any other path. */
function serveEntryPath(
  handler: CallerHandler,
  request: IncomingMessage,
  response: ServerResponse,
  answer: HttpCallerAnswer,
): boolean {
  const path = (request.url ?? '/').split('?')[0];
  if (path !== '/v1/entries' && path !== '/healthz' && path !== '/metrics') return false;
  if (request.method !== 'GET') {
    answer.fail(fail('method_not_allowed', `${path} supports only GET, not ${request.method}`).val);
    return true;
  }
  if (path === '/metrics') {
    answer.start(200, [{ name: 'Content-Type', value: 'text/plain; version=0.0.4' }]);
    response.end(handler.formatMetrics());
    return true;
  }
  const health = handler.describeHealth();
  const status = path === '/healthz' && !health.ready ? 503 : 200;
  answer.start(status, [{ name: 'Content-Type', value: 'application/json' }]);
  const body = path === '/healthz' ? health.body : handler.describeEntries();
  response.end(`${JSON.stringify(body)}\n`);
  return true;
}

/**
 * Closes the connection of a caller that stops reading: bytes wait to be written, but none was
 * written within the timeout. An idle stream has no bytes waiting and stays open.
 */
function watchWriteProgress(response: ServerResponse, timeoutMs: number): void {
  let lastSentBytes = -1;
  const timer = setInterval(() => {
    const { socket } = response;
    if (socket === null) return;
    const sentBytes = socket.bytesWritten - socket.writableLength;
    const isStalled = socket.writableLength > 0 && sentBytes === lastSentBytes;
    lastSentBytes = sentBytes;
    if (isStalled) abortResponse(response);
  }, timeoutMs);
  timer.unref();
  response.on('close', () => clearInterval(timer));
}
