import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { BodyBudget, ManualClock, type RequestHead } from '@limpetbay/core';
import { DirectServer, startCallerServer, type CallerHandler } from '../src/index.js';

const PORT = 18_931;
const WAIT_MS = 3000;

const EVENTS = ['uncaughtException', 'unhandledRejection'] as const;

let errors: unknown[];
let listeners: Map<string, NodeJS.UncaughtExceptionListener[]>;
let server: { close(): void } | null = null;
const recordError = (error: unknown): void => {
  errors.push(error);
};

function throwError(): never {
  throw new Error('odd request');
}

/** Sends a request. @returns the status, or null without an answer */
async function call(url: string, path: string): Promise<number | null> {
  const signal = AbortSignal.timeout(WAIT_MS);
  const body = '{"model":"m","messages":[]}';
  const headers = { 'Limpetbay-Workspace': 'w' };
  const options = { method: 'POST', headers, body, signal };
  const answer = await fetch(`${url}${path}`, options).catch(() => null);
  return answer?.status ?? null;
}

beforeEach(() => {
  errors = [];
  // The test runner reports errors that it sees itself as failures.
  listeners = new Map();
  for (const event of EVENTS) {
    listeners.set(event, process.listeners(event as 'uncaughtException'));
    process.removeAllListeners(event);
    process.on(event, recordError);
  }
});

afterEach(() => {
  server?.close();
  for (const event of EVENTS) {
    process.removeAllListeners(event);
    for (const listener of listeners.get(event) ?? []) process.on(event, listener);
  }
});

// Guards against a request that never gets an answer because the code that handles it has failed.
describe('a request whose handling throws is answered with 500, and the error is reported', () => {
  it.each([
    ['the head', throwError, throwError],
    ['the request', () => ({}) as RequestHead, throwError],
  ])('by DirectServer, for %s', async (_name, readHead, acceptRequest) => {
    const direct = new DirectServer({
      host: '127.0.0.1',
      port: PORT,
      handler: { acceptRequest },
      readHead,
      getMaxBodyBytes: () => 1000,
      bodyBudget: new BodyBudget(1000, new ManualClock()),
    });
    server = direct;
    await direct.bind(() => {});
    expect(await call(`http://127.0.0.1:${PORT}`, '/')).toBe(500);
    await sleep(50);
    expect(direct.countRequests()).toBe(0);
    expect(errors).toHaveLength(1);
  });

  it('by the caller server', async () => {
    const handler = { isLeaving: () => false, acceptRequest: throwError };
    const callers = await startCallerServer(handler as unknown as CallerHandler, {
      host: '127.0.0.1',
      port: 0,
      maxBodyBytes: 1000,
      writeTimeoutMs: 30_000,
    });
    server = callers;
    expect(await call(callers.url, '/services/s/x')).toBe(500);
    expect(errors).toHaveLength(1);
  });
});
