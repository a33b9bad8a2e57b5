import { describe, expect, it } from 'vitest';
import { PeerSocket } from '../src/index.js';

function createSocket(port: number): PeerSocket {
  return new PeerSocket({ host: '127.0.0.1', port, onMessage: () => {}, onError: () => {} });
}

describe('PeerSocket', () => {
  it('rejects start on a port that is in use instead of waiting forever', async () => {
    const port = 40_000 + (process.pid % 20_000);
    const first = createSocket(port);
    await first.start();
    const second = createSocket(port);
    await expect(second.start()).rejects.toThrow(/EADDRINUSE/);
    first.close();
  });

  it('drops messages sent after close instead of throwing', async () => {
    const socket = createSocket(0);
    await socket.start();
    socket.close();
    expect(() => socket.send({ kind: 'subscribe' }, ['127.0.0.1:9'])).not.toThrow();
  });
});
