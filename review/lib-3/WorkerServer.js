import { createServer } from 'node:http';

/** Requests that wait for a slot, beyond which a worker is full. */
const QUEUE = 24;

/**
 * Stand-in of a plain worker: registers itself in the store, works on as many requests at a time as
 * its capacity, and tells which requests it got.
 */
export class WorkerServer {
  /** Requests that arrived, with the time of their arrival on the steady clock. */
  arrivals = [];

  coldSinceMs = -Infinity;

  coldUntilMs = -Infinity;

  #waiting = [];

  #active = 0;

  #server = null;

  /**
   * @param options `workMs`: how long it works on a request; `listHeaders`: returns further headers
   *   of an answer; `onArrival`: called for each request
   */
  constructor({
    id,
    host,
    store,
    service,
    zone = 'zone-a',
    capacity = 6,
    workMs = 20,
    ...options
  }) {
    this.id = id;
    this.host = host;
    this.store = store;
    this.service = service;
    this.zone = zone;
    this.capacity = capacity;
    this.workMs = workMs;
    this.listHeaders = options.listHeaders ?? (() => ({}));
    this.onArrival = options.onArrival ?? (() => {});
    this.port = options.port ?? 0;
  }

  /** @param options `coldMs`: how long it is cold; `canWrite`: false while the store is down */
  async start({ coldMs = 0, canWrite = true } = {}) {
    this.#server = createServer({ keepAliveTimeout: 15_000 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => this.#handle(request, response, Buffer.concat(chunks)));
    });
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.port, this.host, resolve);
    });
    this.port = this.#server.address().port;
    this.born = Date.now();
    this.#active = 0;
    this.turnCold(coldMs, canWrite);
  }

  /** Turns cold, and writes so unless the store is down. */
  turnCold(coldMs, canWrite = true) {
    this.coldSinceMs = performance.now();
    this.coldUntilMs = this.coldSinceMs + coldMs;
    if (canWrite) this.register('ready');
  }

  isCold(atMs = performance.now()) {
    return atMs < this.coldUntilMs;
  }

  /** Writes the registration, also again after the store has lost it. */
  register(state) {
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      capacity: this.capacity,
      state,
      cold_left_ms: Math.max(0, Math.round(this.coldUntilMs - performance.now())),
      sequence: 1,
      born: this.born,
    });
  }

  /** Removes the registration, as some workers do before they leave. */
  unregister() {
    this.store.remove(`servers/${this.id}`);
  }

  close() {
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = null;
    this.#waiting = [];
  }

  #handle(request, response, body) {
    const id = String(request.headers['x-limpetbay-request-id'] ?? '');
    const expected = request.headers['x-limpetbay-expect-instance'] ?? this.id;
    const common = { 'X-Limpetbay-Request-Id': id, ...this.listHeaders() };
    const refuse = (status) => {
      response.writeHead(status, { ...common, 'X-Limpetbay-Not-Executed': '1' }).end();
    };
    const arrival = {
      id,
      worker: this.id,
      atMs: performance.now(),
      hasRun: false,
      hasEnded: false,
      body: body.toString(),
    };
    if (request.url === '/health') {
      const coldMs = Math.max(0, Math.round(this.coldUntilMs - performance.now()));
      response.writeHead(200, {
        ...common,
        'X-Limpetbay-Instance-Id': this.id,
        'X-Limpetbay-Cold-Remaining': String(coldMs),
      });
      response.end();
      return;
    }
    if (expected !== this.id) {
      refuse(421);
      return;
    }
    this.arrivals.push(arrival);
    this.onArrival();
    if (this.#server === null) return;
    if (id === '') refuse(400);
    else if (this.#active >= this.capacity && this.#waiting.length >= QUEUE) refuse(503);
    else {
      this.#waiting.push(() => this.#run(arrival, response, common));
      this.#startNext();
    }
  }

  #startNext() {
    while (this.#active < this.capacity && this.#waiting.length > 0) {
      this.#active += 1;
      this.#waiting.shift()();
    }
  }

  #run(arrival, response, headers) {
    Object.assign(arrival, { hasRun: true });
    const run = this.born;
    setTimeout(() => {
      if (this.#server === null || run !== this.born) return;
      this.#active -= 1;
      Object.assign(arrival, { hasEnded: true });
      const signed = { ...headers, 'X-Limpetbay-Response-Signature': `${this.id}.${arrival.id}` };
      response.writeHead(200, signed).end(`answer to ${arrival.id}`);
      this.#startNext();
    }, this.workMs);
  }
}
