import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { fail } from '@limpetbay/core';
import { HttpCallerAnswer } from '../answer/HttpCallerAnswer.js';
import { parseRequest } from '../request/parseRequest.js';
import type { CallerHandler } from './CallerHandler.js';
import type { CallerServer } from './CallerServer.js';
import { readBody } from './readBody.js';

interface CallerServerOptions {
  readonly host: string;
  /** Port 0 takes a free one. */
  readonly port: number;
  /** Largest body that any service may allow, bytes. */
  readonly maxBodyBytes: number;
  /** Time without progress after which a caller that does not read is cut off, milliseconds. */
  readonly writeTimeoutMs: number;
}

/** Starts the HTTP server for callers. */
export async function startCallerServer(
  handler: CallerHandler,
  options: CallerServerOptions,
): Promise<CallerServer> {
  const server = createServer((request, response) => {
    void serve(handler, options, request, response);
  });
  server.requestTimeout = options.writeTimeoutMs;
  server.on('connection', (socket) => {
    socket.setNoDelay(true);
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://${options.host}:${port}`,
    drain: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function serve(
  handler: CallerHandler,
  options: CallerServerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const answer = new HttpCallerAnswer(response, () => handler.isLeaving());
  if (serveOwnPath(handler, request, response, answer)) return;
  const body = await readBody(request, options.maxBodyBytes);
  if (body.err) {
    answer.fail(body.val);
    return;
  }
  const parsed = parseRequest(request, body.val);
  if (parsed.err) {
    answer.fail(parsed.val);
    return;
  }
  const cancel = handler.run(parsed.val, answer);
  response.on('close', cancel);
  watchSlowReader(response, options.writeTimeoutMs);
}

/** Answers the entry's own paths. Returns false for any other path. */
function serveOwnPath(
  handler: CallerHandler,
  request: IncomingMessage,
  response: ServerResponse,
  answer: HttpCallerAnswer,
): boolean {
  const path = (request.url ?? '/').split('?')[0];
  if (path !== '/v1/entries' && path !== '/healthz' && path !== '/metrics') return false;
  if (request.method !== 'GET') {
    answer.fail(fail('method_not_allowed', `${path} takes GET, not ${request.method}`).val);
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
 * Cuts off a caller whose connection takes no bytes for the timeout while some are waiting, such
 * as one that went silent. A stream that is merely idle has nothing waiting and is left alone.
 */
function watchSlowReader(response: ServerResponse, timeoutMs: number): void {
  let lastSent = -1;
  const timer = setInterval(() => {
    const { socket } = response;
    if (socket === null) return;
    const sent = socket.bytesWritten - socket.writableLength;
    const isStuck = socket.writableLength > 0 && sent === lastSent;
    lastSent = sent;
    if (isStuck) response.destroy();
  }, timeoutMs);
  timer.unref();
  response.on('close', () => clearInterval(timer));
}
