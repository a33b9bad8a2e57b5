import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { afterEach, describe, expect, it } from 'vitest';
import { DirectAnswer, HttpCallerAnswer } from '../src/index.js';

const EVENT = Buffer.from('id: 1\ndata: first\n\n');

/** Time for what was written to reach the caller, milliseconds. */
const DELIVERY_MS = 20;

/** Each begins an answer and breaks it off. */
const ABORTS: Readonly<Record<string, (response: ServerResponse) => void>> = {
  DirectAnswer: (response) => {
    const answer = new DirectAnswer(response, () => false);
    answer.start(200, ['Content-Type', 'text/event-stream']);
    answer.write(EVENT);
    setTimeout(() => answer.destroy(), DELIVERY_MS);
  },
  HttpCallerAnswer: (response) => {
    const answer = new HttpCallerAnswer(response, () => false);
    answer.start(200, [{ name: 'Content-Type', value: 'text/event-stream' }]);
    answer.write(EVENT);
    setTimeout(() => answer.fail({ kind: 'answer_incomplete', message: 'cut' }), DELIVERY_MS);
  },
};

describe.each(Object.entries(ABORTS))('%s', (_name, abort) => {
  let server: Server;

  /** Sends a request. @returns what arrived, and whether the connection was reset */
  async function call(request: string): Promise<{ text: string; isReset: boolean }> {
    server = createServer((_message, response) => abort(response));
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    let text = '';
    let isReset = false;
    socket.on('data', (data) => {
      text += data.toString('latin1');
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.write(request);
    await new Promise((resolve) => {
      socket.on('close', resolve);
    });
    return { text, isReset };
  }

  afterEach(() => {
    server.close();
  });

  it('lacks its last chunk after it was broken off', async () => {
    const { text } = await call('GET / HTTP/1.1\r\nHost: a\r\n\r\n');
    expect(text).toContain('data: first');
    expect(text).not.toContain('\r\n0\r\n');
  });

  // Guards against an answer without chunks whose end a caller takes for that of a complete one.
  it('resets the connection of a caller that takes no chunks', async () => {
    const { text, isReset } = await call('GET / HTTP/1.0\r\nHost: a\r\n\r\n');
    expect(text).not.toContain('Transfer-Encoding');
    expect(isReset).toBe(true);
  });
});
