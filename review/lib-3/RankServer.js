import { createServer } from 'node:http';

/** Stand-in of a model worker that is the only rank of its group and has no requests. */
export class RankServer {
  #server = createServer((request, response) => {
    request.resume();
    request.on('end', () => {
      const body = request.url.startsWith('/report') ? this.#report() : { step: 1, counts: [] };
      response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    });
  });

  constructor({ id, host, store, service }) {
    this.id = id;
    this.host = host;
    this.store = store;
    this.service = service;
    this.port = 0;
    this.born = Date.now();
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  async start() {
    await new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(0, this.host, resolve);
    });
    this.port = this.#server.address().port;
    this.store.put(`servers/${this.id}`, {
      service: this.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      capacity: 8,
      state: 'ready',
      cold_left_ms: 0,
      sequence: 1,
      born: this.born,
    });
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #report() {
    return {
      group: { name: `group-${this.id}`, epoch: 1, rank: 0, state: 'open' },
      size: 1,
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      active: 0,
      kv_used: 0,
      kv_total: 90_000,
      handles: 0,
      pace: 1,
      step: 1,
      map: 0,
      prepared: null,
      armed: null,
      held: null,
      born: this.born,
    };
  }
}
