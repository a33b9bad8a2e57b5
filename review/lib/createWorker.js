import { createServer } from 'node:http';
import { sleep } from './sleep.js';

/** Events of a stream, and the time between two of them, milliseconds. */
const EVENTS = 8;
const EVENT_MS = 30;

/** Sends a stream of events, those after `Last-Event-Id` only. */
async function sendEvents(request, response, headers) {
  response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
  const first = Number(request.headers['last-event-id'] ?? 0) + 1;
  for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
    response.write(`id: ${event}\ndata: part ${event}\n\n`);
    await sleep(EVENT_MS);
  }
  response.end();
}

/**
 * Starts a sound worker: it runs each request for `workMs` and answers with its signature;
 * requests under `/note/` get a stream of events.
 *
 * @param options `host`, `id`, `workMs`, `onRun` (called when a request begins to run), `headers`
 *   (further headers of its answers)
 */
export async function createWorker({ host, id, workMs = 30, onRun = () => {}, headers = {} }) {
  const server = createServer({ keepAliveTimeout: 5000 }, (request, response) => {
    request.resume();
    request.on('end', async () => {
      const requestId = request.headers['x-limpetbay-request-id'] ?? '';
      const common = { 'X-Limpetbay-Request-Id': requestId, ...headers };
      if ((request.headers['x-limpetbay-expect-instance'] ?? id) !== id) {
        response.writeHead(421, { ...common, 'X-Limpetbay-Not-Executed': '1' }).end();
        return;
      }
      onRun({ id: requestId, path: request.url, headers: request.headers });
      await sleep(workMs);
      if (response.destroyed) return;
      const signed = { ...common, 'X-Limpetbay-Response-Signature': `${id}.${requestId}` };
      if (request.url.startsWith('/note/')) {
        await sendEvents(request, response, signed);
        return;
      }
      const body = `answer to ${requestId}`;
      response.writeHead(200, { ...signed, 'Content-Length': Buffer.byteLength(body) });
      response.end(body);
    });
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    id,
    address: `${host}:${server.address().port}`,
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
