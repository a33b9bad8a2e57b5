import { createServer, type AddressInfo } from 'node:net';
import { expect, it } from 'vitest';
import { bindServer } from '../src/index.js';

const HOST = '127.0.0.1';

// Guards against a failed accept, such as without free descriptors, that reaches no handler.
it('reports every error of a server that listens', async () => {
  const server = createServer();
  const errors: string[] = [];
  await bindServer(server, HOST, 0, ({ message }) => errors.push(message));
  server.emit('error', new Error('accept EMFILE'));
  server.emit('error', new Error('accept ENFILE'));
  expect(errors).toEqual(['accept EMFILE', 'accept ENFILE']);
  expect(server.listening).toBe(true);
  server.close();
});

// Guards against listeners that pile up with each attempt to bind an address that stays busy.
it('may be called again after a failure, and leaves no listeners behind', async () => {
  const holder = createServer();
  await bindServer(holder, HOST, 0, () => {});
  const { port } = holder.address() as AddressInfo;
  const server = createServer();
  for (let attempt = 0; attempt < 20; attempt += 1) {
    await expect(bindServer(server, HOST, port, () => {})).rejects.toThrow('EADDRINUSE');
  }
  expect(server.listenerCount('error') + server.listenerCount('listening')).toBe(0);
  await new Promise((resolve) => {
    holder.close(resolve);
  });
  await bindServer(server, HOST, port, () => {});
  expect(server.listening).toBe(true);
  server.close();
});
