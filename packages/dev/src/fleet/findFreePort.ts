import { createServer, type AddressInfo } from 'node:net';

/**
 * Finds a TCP port that is free now. Another process may take it before the caller listens on it.
 */
export async function findFreePort(host: string): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}
