import { createSocket as createUdpSocket } from 'node:dgram';
import { once } from 'node:events';
import { describe, expect, it } from 'vitest';
import { PeerSocket } from '../src/index.js';

function createSocket(port: number): PeerSocket {
  return new PeerSocket({
    host: '127.0.0.1',
    port,
    onMessage: () => {},
    onInvalid: () => {},
    onError: () => {},
  });
}

describe('PeerSocket', () => {
  it('rejects a bind to a port that is in use instead of waiting forever', async () => {
    const port = 40_000 + (process.pid % 20_000);
    const first = createSocket(port);
    await first.bind();
    const second = createSocket(port);
    await expect(second.bind()).rejects.toThrow(/EADDRINUSE/);
    first.close();
  });

  it('drops messages sent after close instead of throwing', async () => {
    const socket = createSocket(0);
    await socket.bind();
    socket.close();
    expect(() => socket.send({ kind: 'subscribe' }, ['127.0.0.1:9'])).not.toThrow();
  });

  // Guards against an address of another writer that keeps messages from all other receivers.
  it.each(['127.0.0.1:0', '127.0.0.1:65536', '127.0.0.256:80', 'no-such-host:80', '127.0.0.1', ''])(
    'reports the address %j and sends to the others',
    async (odd) => {
      const invalid: [string, string][] = [];
      const receiver = createUdpSocket('udp4');
      await new Promise<void>((resolve) => {
        receiver.bind(0, '127.0.0.1', resolve);
      });
      const sender = new PeerSocket({
        host: '127.0.0.1',
        port: 0,
        onMessage: () => {},
        onInvalid: (address, cause) => invalid.push([address, cause]),
        onError: () => {},
      });
      await sender.bind();
      const arrival = once(receiver, 'message');
      sender.send({ kind: 'subscribe' }, [odd, `127.0.0.1:${receiver.address().port}`]);
      const [data] = (await arrival) as [Buffer];
      expect(JSON.parse(data.toString())).toEqual({ kind: 'subscribe' });
      expect(invalid).toEqual([[odd, expect.stringContaining(JSON.stringify(odd))]]);
      sender.close();
      receiver.close();
    },
  );
});
