import type { Server } from 'node:net';

/**
 * Tries once to listen. A server that could not may be tried again.
 *
 * @param port port to listen on; 0 selects a free port
 * @param onError called for errors of the server while it listens, such as a failed accept
 * @throws the error of the operating system, such as an address in use
 */
export async function bindServer(
  server: Server,
  host: string,
  port: number,
  onError: (error: Error) => void,
): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    const handleListening = (): void => {
      server.off('error', handleError);
      server.on('error', onError);
      resolve();
    };
    const handleError = (error: Error): void => {
      server.off('listening', handleListening);
      server.off('error', handleError);
      reject(error);
    };
    server.once('listening', handleListening);
    server.once('error', handleError);
    server.listen(port, host);
  });
}
