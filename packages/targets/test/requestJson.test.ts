import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, it } from 'vitest';
import { RealClock } from '@limpetbay/runtime';
import { DirectPool, requestJson } from '../src/index.js';

let server: Server;
let pool: DirectPool;

async function startServer(body: string, isEndless: boolean): Promise<void> {
  server = createServer((request, response) => {
    const write = (): void => {
      if (!response.destroyed) response.write(body, () => setImmediate(write));
    };
    if (isEndless) write();
    else response.end(body);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  pool = new DirectPool(`127.0.0.1:${port}`, new RealClock());
}

const REQUEST = { method: 'GET', url: '/report', timeoutMs: 5000, maxBodyBytes: 100_000 };

afterEach(() => {
  pool.close();
  server.closeAllConnections();
  server.close();
});

it('returns a JSON answer up to the largest body', async () => {
  await startServer(JSON.stringify('x'.repeat(99_998)), false);
  const answer = await requestJson(pool, REQUEST);
  expect(answer.unwrap().body).toHaveLength(99_998);
});

// Guards against a rank, store or agent whose answer fills the memory of the process.
it('gives up an answer without an end and closes its connection', async () => {
  await startServer('[0,', true);
  const answer = await requestJson(pool, REQUEST);
  expect(answer.err).toBe(true);
  expect(answer.val).toMatchObject({ kind: 'outcome_unknown' });
  expect(pool.count()).toBe(0);
});
