import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { HttpTarget } from '../src/index.js';

const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

/** How long everything that has arrived waits for the event loop, milliseconds. */
const LATE_MS = 20;

function blockLoop(): void {
  const endMs = performance.now() + LATE_MS;
  while (performance.now() < endMs);
}

describe('HttpTarget', () => {
  let server: Server;
  let target: HttpTarget;

  async function start(behaviour: (socket: Socket) => void): Promise<void> {
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.once('data', () => behaviour(socket));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    target = new HttpTarget(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  }

  function call(): Promise<string> {
    let text = '';
    return new Promise((resolve) => {
      target.send(
        { method: 'GET', path: '/', headers: [], body: new Uint8Array(), resumeFrom: 0 },
        {
          onHead: () => {},
          onData: (data) => {
            text += Buffer.from(data).toString();
          },
          onEnd: () => resolve(`complete: ${text}`),
          onFailure: () => resolve('broken'),
        },
      );
    });
  }

  afterEach(async () => {
    await target.close();
    server.close();
  });

  it('delivers a body without a length', async () => {
    await start((socket) => socket.end(`${HEAD}Connection: close\r\n\r\nwhole`));
    expect(await call()).toBe('complete: whole');
  });

  // Guards against a body that is cut by a reset and taken for a complete one.
  it.each(['Connection: close', 'Content-Length: 9', 'Transfer-Encoding: chunked'])(
    'reports a body with %s as broken if its connection is reset',
    async (framing) => {
      await start((socket) =>
        socket.write(`${HEAD}${framing}\r\n\r\n4\r\npart`, () => {
          socket.resetAndDestroy();
          blockLoop();
        }),
      );
      expect(await call()).toBe('broken');
    },
  );
});
