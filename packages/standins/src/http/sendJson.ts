import type { ServerResponse } from 'node:http';

/** Sends a complete response with a JSON body. */
export function sendJson(response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
