import type { ServerResponse } from 'node:http';

/**
 * Breaks off an answer that has begun, so that its caller cannot take it for a complete one: Node
 * sends the last chunk only on `end()`.
 */
export function abortResponse(response: ServerResponse): void {
  // HTTP/1.0 has no chunks, so a regular end of the connection would complete the answer.
  if (response.headersSent && !response.chunkedEncoding) response.socket?.resetAndDestroy();
  response.destroy();
}
