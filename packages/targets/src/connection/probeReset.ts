import type { Socket } from 'node:net';

/** Error codes of a write to a connection that was reset. */
const RESET_ERROR_CODES = new Set(['EPIPE', 'ECONNRESET', 'ENOTCONN']);

/**
 * Detects a reset that arrived in the same poll as the last bytes: libuv reports it as a regular
 * end, but a write to the connection fails. After a regular end the target ignores the empty line.
 * Must be called before anything else handles the end of the connection.
 *
 * @param onReset called within `resetProbeMs`
 */
export function probeReset(socket: Socket, onReset: () => void): void {
  socket.write('\r\n', (error) => {
    const { code } = (error ?? {}) as { code?: string };
    if (code !== undefined && RESET_ERROR_CODES.has(code)) onReset();
  });
}
