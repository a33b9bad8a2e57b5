import { createServer } from 'node:http';
import { buildRegistration } from './buildRegistration.js';
import { sleep } from './sleep.js';

const EVENTS = 8;
const EVENT_MS = 30;

/** The worker is back after this time, milliseconds. */
const RESTART_MS = 2000;

/**
 * A worker of streams that crashes when it has begun to write an answer on a certain prompt part:
 * its port closes and its channels are reset. It is back after some seconds, under its id.
 */
export class CrashingWorker {
  crashes = 0;

  #options;

  #port = 0;

  #server = null;

  #sockets = new Set();

  /**
   * @param options `host`, `id`, `store`, `part` (the prompt part), `eventsBeforeCrash`, `onRun`
   *   (called when a request begins to run), `onCrash`
   */
  constructor(options) {
    this.#options = options;
  }

  async start() {
    const { host, id, store } = this.#options;
    const server = createServer((request, response) => {
      request.resume();
      request.on('end', () => this.#answer(request, response));
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => {
      server.listen(this.#port, host, resolve);
    });
    this.#server = server;
    this.#port = server.address().port;
    store.put(`servers/${id}`, buildRegistration(`${host}:${this.#port}`, { born: Date.now() }));
  }

  async #crash() {
    const server = this.#server;
    if (server === null) return;
    this.#server = null;
    this.crashes += 1;
    server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#options.onCrash(this.#options.id);
    await sleep(RESTART_MS);
    await this.start();
  }

  async #answer(request, response) {
    const { id, part, eventsBeforeCrash, onRun } = this.#options;
    const requestId = request.headers['x-limpetbay-request-id'] ?? '';
    const common = { 'X-Limpetbay-Request-Id': requestId };
    if ((request.headers['x-limpetbay-expect-instance'] ?? id) !== id) {
      response.writeHead(421, { ...common, 'X-Limpetbay-Not-Executed': '1' }).end();
      return;
    }
    const isDeadly = (request.headers['x-limpetbay-prompt-prefix'] ?? '').includes(part);
    onRun({ id: requestId, worker: id, isDeadly });
    await sleep(EVENT_MS);
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= EVENTS && !response.destroyed; event += 1) {
      if (isDeadly && event - first === eventsBeforeCrash) {
        await this.#crash();
        return;
      }
      if (!response.headersSent) {
        response.writeHead(200, {
          ...common,
          'X-Limpetbay-Response-Signature': `${id}.${requestId}`,
          'Content-Type': 'text/event-stream',
        });
      }
      response.write(`id: ${event}\ndata: part ${event}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  }
}
