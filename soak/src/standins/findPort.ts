import { createServer, type AddressInfo } from 'node:net';

/** Returns a TCP port that is free at an address. */
export async function findPort(host: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
