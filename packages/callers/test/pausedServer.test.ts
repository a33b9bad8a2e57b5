import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, it } from 'vitest';
import { BodyBudget, ManualClock, type RequestHead } from '@limpetbay/core';
import { DirectServer } from '../src/index.js';

const PORT = 20_000 + (process.pid % 20_000);

const IDLE_TIMEOUT_MS = 100;

/** Node.js closes idle connections up to a second later than it is told. */
const PAUSE_MS = IDLE_TIMEOUT_MS + 1300;

const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';

const ANSWER_MS = 30;

function block(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

// Guards against a kept connection that is closed after a pause of the process, although a request
// has arrived on it in the meantime.
it('answers a request that arrived while the idle timeout passed in a pause', async () => {
  let requests = 0;
  const server = new DirectServer({
    host: '127.0.0.1',
    port: PORT,
    handler: {
      acceptRequest: (_head, _body, answer) => {
        requests += 1;
        answer.send(200, [], []);
        return () => {};
      },
    },
    readHead: () => ({}) as RequestHead,
    getMaxBodyBytes: () => 1000,
    bodyBudget: new BodyBudget(1000, new ManualClock()),
  });
  await server.bind(() => {});
  server.setTimeouts(IDLE_TIMEOUT_MS, 1000);
  const socket = connect(PORT, '127.0.0.1');
  socket.on('error', () => {});
  socket.resume();
  socket.write(REQUEST);
  await sleep(ANSWER_MS);
  expect(requests).toBe(1);
  await new Promise<void>((resolve) => {
    // Node.js runs timers after immediates, and only then reads from connections.
    setImmediate(() => {
      socket.write(REQUEST);
      block(PAUSE_MS);
      resolve();
    });
  });
  await sleep(ANSWER_MS);
  expect(requests).toBe(2);
  expect(socket.closed).toBe(false);
  await sleep(PAUSE_MS);
  expect(socket.closed).toBe(true);
  server.close();
});
