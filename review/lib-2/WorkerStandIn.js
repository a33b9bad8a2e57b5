import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/**
 * Stand-in of a worker of a plain service: runs what names it, answers with the signature and the
 * id, and keeps a record of its runs. A path `/.../EVENTS/GAP` on a stream route is answered with so
 * many events.
 */
export class WorkerStandIn {
  id;

  /** Called when a request begins to run. */
  onRun = () => {};

  #server = createServer({ keepAliveTimeout: 5000 }, (request, response) => {
    void this.#handle(request, response);
  });

  constructor(id) {
    this.id = id;
  }

  async start(host, port) {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    try {
      for await (const chunk of request) void chunk;
    } catch {
      return;
    }
    const requestId = request.headers['x-limpetbay-request-id'] ?? '';
    const expected = request.headers['x-limpetbay-expect-instance'] ?? this.id;
    const common = { 'X-Limpetbay-Request-Id': requestId };
    if (expected !== this.id || requestId === '') {
      const status = requestId === '' ? 400 : 421;
      response.writeHead(status, { ...common, 'X-Limpetbay-Not-Executed': '1' }).end();
      return;
    }
    this.onRun(requestId, request);
    const signed = { ...common, 'X-Limpetbay-Response-Signature': `${this.id}.${requestId}` };
    const [, events, gapMs] = /\/(\d+)\/(\d+)$/.exec(request.url) ?? [null, 0, 0];
    if (Number(events) === 0) {
      const body = `answer to ${requestId}\n`;
      response.writeHead(200, { ...signed, 'Content-Length': Buffer.byteLength(body) }).end(body);
      return;
    }
    response.writeHead(200, { ...signed, 'Content-Type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= Number(events) && !response.destroyed; event += 1) {
      response.write(`id: ${event}\ndata: ${requestId} ${event}\n\n`);
      await sleep(Number(gapMs));
    }
    response.end();
  }
}
