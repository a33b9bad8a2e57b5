import { createHash } from 'node:crypto';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { Ledger } from '../check/Ledger.js';
import type { RunRecord } from '../check/RunRecord.js';
import { LinkProxy } from './LinkProxy.js';
import { buildAnswer } from './buildAnswer.js';
import { buildEvents } from './buildEvents.js';
import type { StoreServer } from './StoreServer.js';

const CAPACITY = 16;

/** Requests beyond the capacity that a target keeps before it refuses more. */
const QUEUE = 8;

/** Time for which a target that leaves still serves, milliseconds. */
const DRAIN_MS = 3500;

const ENDLESS_BLOCK = Buffer.from('1\r\nx\r\n'.repeat(4096));

/** Stand-in of a target: runs safe, unsafe and stream requests and reports each run. */
export class TargetServer {
  /** Answers from now on that never end; the caller has to close their connections. */
  endless = 0;

  #life = 0;

  #state: 'ready' | 'draining' | 'down' = 'down';

  #active = 0;

  #server: Server | null = null;

  readonly #sockets = new Set<Socket>();

  #proxy: LinkProxy | null = null;

  /** @param port port of the proxy in front of the server, which takes a free one */
  constructor(
    readonly name: string,
    private readonly host: string,
    private readonly port: number,
    private readonly store: StoreServer,
    private readonly ledger: Ledger,
  ) {}

  get id(): string {
    return `${this.name}-${this.#life}`;
  }

  /** Whether it is registered as ready. */
  get isReady(): boolean {
    return this.#state === 'ready';
  }

  /** Starts a new life under a new id and registers it. */
  async start(): Promise<void> {
    this.#life += 1;
    this.#active = 0;
    const server = createServer({ keepAliveTimeout: 5000 }, (request, response) => {
      void this.#handle(request, response);
    });
    server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.on('close', () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, this.host, resolve);
    });
    this.#server = server;
    const { port } = server.address() as AddressInfo;
    this.#proxy = new LinkProxy(this.host, this.port, port);
    await this.#proxy.start();
    this.#register('ready');
  }

  /** Announces that the target leaves, serves for a while, then ends and starts anew. */
  async drain(): Promise<void> {
    const { id } = this;
    this.#register('draining');
    await this.#serveLeaving(id);
  }

  /** Withdraws the registration without an announcement; else as `drain`. */
  async withdraw(): Promise<void> {
    const { id } = this;
    this.#state = 'draining';
    this.store.remove(`servers/${id}`);
    await this.#serveLeaving(id);
  }

  async #serveLeaving(id: string): Promise<void> {
    this.ledger.addSpan(id, 'leaving', performance.now());
    await sleep(DRAIN_MS);
    if (id !== this.id || this.#server === null) return;
    const span = this.ledger.addSpan(this.name, 'unplanned', performance.now());
    this.close();
    this.store.remove(`servers/${id}`);
    await this.start();
    span.endMs = performance.now();
  }

  /** Ends without notice, with its connections reset, and starts anew after a while. */
  async failFor(downMs: number): Promise<void> {
    const { id } = this;
    const span = this.ledger.addSpan(this.name, 'unplanned', performance.now());
    this.close();
    await sleep(downMs);
    this.store.remove(`servers/${id}`);
    await this.start();
    span.endMs = performance.now();
  }

  /** Lets the open connections go silent. */
  suspendLinks(): void {
    const nowMs = performance.now();
    this.ledger.addSpan(this.name, 'unplanned', nowMs, nowMs);
    this.#proxy?.suspendLinks();
  }

  close(): void {
    this.#proxy?.close();
    const server = this.#server;
    this.#server = null;
    this.#state = 'down';
    for (const socket of this.#sockets) socket.resetAndDestroy();
    server?.close();
  }

  #register(state: 'ready' | 'draining'): void {
    this.#state = state;
    this.store.put(`servers/${this.id}`, {
      service: 'orders',
      address: `${this.host}:${this.port}`,
      zone: 'zone-a',
      version: 'v1',
      capacity: CAPACITY,
      state,
      cold_left_ms: 0,
      sequence: 1,
      born: Date.now(),
    });
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { id } = this;
    const arrivedMs = performance.now();
    const hash = createHash('sha1');
    try {
      for await (const chunk of request) hash.update(chunk as Buffer);
    } catch {
      return;
    }
    const requestId = String(request.headers['x-limpetbay-request-id'] ?? '');
    const common = { 'X-Limpetbay-Request-Id': requestId };
    const path = request.url ?? '/';
    const refuse = (status: number): void => {
      response.writeHead(status, { ...common, 'X-Limpetbay-Not-Executed': '1' }).end();
    };
    if (path === '/health') {
      response.writeHead(200, { ...common, 'X-Limpetbay-Instance-Id': id }).end();
    } else if ((request.headers['x-limpetbay-expect-instance'] ?? id) !== id) refuse(421);
    else if (requestId === '') refuse(400);
    else if (this.#active >= CAPACITY + QUEUE) refuse(503);
    else {
      this.#active += 1;
      const run = this.ledger.addRun(requestId, this.name, id, arrivedMs);
      response.on('close', () => {
        if (id !== this.id) run.isBrokenOff = true;
        else this.#active -= 1;
      });
      response.on('finish', () => {
        run.endMs = performance.now();
      });
      const signed = { ...common, 'X-Limpetbay-Response-Signature': `${id}.${requestId}` };
      await this.#run(run, request, response, signed, hash.digest('hex'));
    }
  }

  async #run(
    run: RunRecord,
    request: IncomingMessage,
    response: ServerResponse,
    headers: Record<string, string>,
    bodyHash: string,
  ): Promise<void> {
    const path = request.url ?? '/';
    if (this.endless > 0) {
      this.endless -= 1;
      // A target that never ends its answer is not sound.
      Object.assign(run, { isBrokenOff: true });
      this.#sendEndlessly(response, headers);
      return;
    }
    const stepMs = Number(new URL(path, 'http://target').searchParams.get('ms') ?? 0);
    await sleep(stepMs);
    if (response.destroyed) return;
    const id = headers['X-Limpetbay-Request-Id']!;
    if (!path.startsWith('/note/')) {
      const [head, filler] = buildAnswer(id, path, bodyHash);
      response.writeHead(200, { ...headers, 'Content-Length': head.length + filler.length });
      response.write(head);
      response.end(filler);
      return;
    }
    response.writeHead(200, { ...headers, 'Content-Type': 'text/event-stream' });
    const first = Number(request.headers['last-event-id'] ?? 0) + 1;
    for (const event of buildEvents(id).slice(first - 1)) {
      if (response.destroyed) return;
      response.write(event);
      await sleep(stepMs);
    }
    response.end();
  }

  #sendEndlessly(response: ServerResponse, headers: Record<string, string>): void {
    response.writeHead(200, { ...headers, 'Transfer-Encoding': 'chunked' });
    response.flushHeaders();
    const { socket } = response;
    if (socket === null) return;
    const write = (): void => {
      while (!socket.destroyed && socket.write(ENDLESS_BLOCK));
    };
    socket.on('drain', write);
    write();
  }
}
