import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';

/**
 * Occupies a TCP or UDP address. Connections to it are reset.
 *
 * @returns a function that gives the address free
 * @throws if another socket has the address
 */
export async function holdAddress(
  host: string,
  port: number,
  protocol: 'tcp' | 'udp',
): Promise<() => void> {
  if (protocol === 'udp') {
    const socket = createSocket('udp4');
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, host, resolve);
    });
    return () => socket.close();
  }
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.resetAndDestroy();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return () => server.close();
}
