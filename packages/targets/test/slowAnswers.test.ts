import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { afterEach, beforeEach, expect, it } from 'vitest';
import { RealClock } from '@limpetbay/runtime';
import { DirectPool } from '../src/index.js';

/** Longer than a large answer may take on a connection that is used again. */
const PAUSE_MS = 700;

const CALL = { method: 'GET', url: '/', headers: [], body: null, maxIdleMs: 60_000 };

let server: Server;
let pool: DirectPool;

beforeEach(async () => {
  server = createServer((request, response) => {
    if (request.url === '/large') {
      response.end(Buffer.alloc(1_000_000));
      return;
    }
    response.write('begin');
    setTimeout(() => response.end('end'), PAUSE_MS);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  pool = new DirectPool(`127.0.0.1:${port}`, new RealClock());
});

afterEach(() => {
  pool.close();
  server.close();
});

/** Reads an answer, of which all but the first part waits for a time. */
async function receive(url: string, pauseMs: number): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    let setPaused = (_isPaused: boolean): void => {};
    let isFirstPart = true;
    pool.send(
      { ...CALL, url },
      {
        onHead: (_status, _headers, transport) => {
          setPaused = transport.setPaused;
        },
        onData: () => {
          if (!isFirstPart) return;
          isFirstPart = false;
          setPaused(true);
          setTimeout(() => setPaused(false), pauseMs);
        },
        onEnd: resolve,
        onFailure: (message) => reject(new Error(message)),
      },
    );
  });
  // The connection becomes idle after the end of its answer.
  await sleep(50);
}

// Guards against a request on a connection that its target has closed behind a large answer, which
// then fails although the target never received it.
it('does not use a connection again on which a large answer was read slowly', async () => {
  await receive('/large', PAUSE_MS);
  expect(pool.count()).toBe(0);
});

it('uses a connection again after a large answer that was read at once', async () => {
  await receive('/large', 0);
  expect(pool.count()).toBe(1);
});

it('uses a connection again after a small answer that took long', async () => {
  await receive('/small', 0);
  expect(pool.count()).toBe(1);
});
