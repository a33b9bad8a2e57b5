import { createHash } from 'node:crypto';
import { request, type IncomingMessage } from 'node:http';
import { findDefect } from '../check/findDefect.js';
import type { RequestRecord } from '../check/RequestRecord.js';
import type { CallOptions } from './CallOptions.js';

const EMPTY = Buffer.alloc(0);

/** Sends a request to an entry and records what its caller sees. */
export async function callEntry(id: string, options: CallOptions): Promise<RequestRecord> {
  const { entry, path, method, limitMs, body = EMPTY } = options;
  const startMs = performance.now();
  const call = request({
    host: options.host,
    port: options.port,
    path,
    method,
    agent: options.agent,
    headers: {
      Host: 'app.example',
      'X-Limpetbay-Request-Id': id,
      'X-Limpetbay-Request-Deadline': String(limitMs),
      Authorization: 'Bearer key-1',
      ...(method === 'POST' ? { 'Content-Length': body.length } : {}),
    },
  });
  return new Promise((resolve) => {
    let response: IncomingMessage | null = null;
    let sentMs: number | null = null;
    let leaveTimer: NodeJS.Timeout | undefined;
    let resetTimer: NodeJS.Timeout | undefined;
    const chunks: Buffer[] = [];
    const finish = (outcome: RequestRecord['outcome'], cause = ''): void => {
      clearTimeout(leaveTimer);
      clearTimeout(resetTimer);
      const endMs = performance.now();
      const status = response?.statusCode ?? null;
      const isSuccess = outcome === 'answered' && status !== null && status < 300;
      const sentHash = createHash('sha1').update(body).digest('hex');
      const defect = isSuccess
        ? findDefect({ id, path, sentHash }, response!.headers, Buffer.concat(chunks))
        : '';
      const isUnsafe = method === 'POST' && !path.startsWith('/note/');
      const isKept = call.reusedSocket;
      const { pauseMs = 0 } = options;
      const times = { pauseMs, startMs, sentMs, endMs };
      resolve({ id, path, entry, isUnsafe, isKept, ...times, outcome, status, cause, defect });
      call.destroy();
    };
    leaveTimer = setTimeout(() => finish('left', 'time limit'), limitMs);
    if (options.resetAfterMs !== undefined) {
      resetTimer = setTimeout(() => {
        call.socket?.resetAndDestroy();
        finish('left', 'reset by the caller');
      }, options.resetAfterMs);
    }
    call.on('finish', () => {
      sentMs = performance.now();
    });
    call.on('response', (received) => {
      response = received;
      received.on('data', (data: Buffer) => chunks.push(data));
      received.on('end', () => finish('answered'));
      received.on('error', (error: NodeJS.ErrnoException) => finish('closed', error.code));
      if (options.pauseMs === undefined) return;
      received.pause();
      setTimeout(() => received.resume(), options.pauseMs);
    });
    call.on('error', (error: NodeJS.ErrnoException) => finish('closed', error.code));
    call.end(body);
  });
}
