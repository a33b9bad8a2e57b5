import { createServer } from 'node:http';

/** Items and bytes of one page of a range read. */
const PAGE_ITEMS = 500;

const PAGE_BYTES = 1_048_576;

/** Stand-in of the platform's store: keys, leases that expire, watches and transactions. */
export class StoreServer {
  #items = new Map();

  #leases = new Map();

  /** Watch requests that wait for a change: functions that answer them. */
  #watches = new Map();

  #changes = [];

  #revision = 1;

  #lastLease = 100;

  #era = 1;

  /** While the store is away, calls are not answered and their connections are closed. */
  #isAway = false;

  #servers = [];

  /** Machines that the store turns away. */
  #refused = new Set();

  constructor(host) {
    this.host = host;
  }

  /** Opens an address of the store for one machine, so that the store knows who calls. */
  async open(machine) {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () =>
        this.#handle(machine, request, response, Buffer.concat(chunks).toString()),
      );
    });
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, this.host, resolve);
    });
    this.#servers.push(server);
    return `${this.host}:${server.address().port}`;
  }

  close() {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Cuts the watch requests that wait: their connections are closed without an answer. */
  cutWatches() {
    const waiting = [...this.#watches.values()];
    for (const { response } of waiting) response.socket?.destroy();
    return waiting.length;
  }

  /** Turns a machine away with 503, or serves it again. */
  setRefused(machine, isRefused) {
    if (!isRefused) {
      this.#refused.delete(machine);
      return;
    }
    this.#refused.add(machine);
    for (const watch of [...this.#watches.values()]) {
      if (watch.machine === machine) watch.response.socket?.destroy();
    }
  }

  /** Returns a copy of what the store holds. */
  copy() {
    const leases = [...this.#leases].map(([id, { ttlMs }]) => [id, ttlMs]);
    const revision = this.#revision;
    return { items: new Map(this.#items), leases, changes: [...this.#changes], revision };
  }

  /** The store is away for a moment and comes back from a copy, with the next era. */
  async restore({ items, leases, changes, revision }, awayMs) {
    this.#isAway = true;
    for (const server of this.#servers) server.closeAllConnections();
    await new Promise((resolve) => {
      setTimeout(resolve, awayMs);
    });
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    this.#leases.clear();
    this.#items = new Map(items);
    this.#changes = [...changes];
    this.#revision = revision;
    for (const [id, ttlMs] of leases) this.#renewLease(id, ttlMs);
    this.#era += 1;
    this.#isAway = false;
  }

  countWatches() {
    return this.#watches.size;
  }

  read(key) {
    const item = this.#items.get(key);
    return item === undefined ? null : Buffer.from(item.value, 'base64').toString();
  }

  listKeys(prefix) {
    return [...this.#items.keys()].filter((key) => key.startsWith(prefix));
  }

  put(key, value, lease = 0) {
    this.#revision += 1;
    const bytes = Buffer.isBuffer(value) ? value : toBuffer(value);
    const item = {
      key,
      value: bytes.toString('base64'),
      revision: this.#revision,
      created: this.#items.get(key)?.created ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#recordChange(item);
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#recordChange({ key, revision: this.#revision, removed: true });
  }

  #recordChange(change) {
    this.#changes.push(change);
    for (const { finish } of [...this.#watches.values()]) finish();
  }

  #handle(machine, request, response, body) {
    const url = new URL(request.url, 'http://store');
    if (this.#isAway) request.socket.destroy();
    else if (this.#refused.has(machine)) this.#send(response, [503, {}]);
    else if (url.pathname === '/kv-watch') this.#answerWatch(machine, url, response);
    else this.#send(response, this.#answer(url, request.method, body));
  }

  #send(response, [status, answer]) {
    if (response.destroyed || response.writableEnded) return;
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': `${this.#era}` });
    response.end(JSON.stringify(answer));
  }

  #answer(url, method, body) {
    const id = Number(url.pathname.split('/').pop());
    if (url.pathname === '/kv-key') {
      const item = this.#items.get(url.searchParams.get('key') ?? '');
      return [item === undefined ? 404 : 200, { ...item, current_rev: this.#revision }];
    }
    if (url.pathname === '/kv-range') return this.#answerRange(url);
    if (url.pathname === '/kv-txn') return this.#applyTransaction(JSON.parse(body));
    if (url.pathname === '/kv-lease') {
      const ttlMs = JSON.parse(body).ttl_ms;
      this.#lastLease += 1;
      this.#renewLease(this.#lastLease, ttlMs);
      return [200, { lease: this.#lastLease, ttl_ms: ttlMs }];
    }
    if (url.pathname.startsWith('/kv-keep/')) {
      const lease = this.#leases.get(id);
      if (lease === undefined) return [404, {}];
      this.#renewLease(id, lease.ttlMs);
      return [200, { ttl_ms: lease.ttlMs }];
    }
    if (!url.pathname.startsWith('/kv-lease-end/') || method !== 'DELETE') return [400, {}];
    this.#endLease(id);
    return [200, {}];
  }

  #answerRange(url) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const items = [];
    let bytes = 0;
    for (const item of found) {
      bytes += item.value.length;
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes > PAGE_BYTES)) break;
      items.push(item);
    }
    const hasMore = items.length < found.length;
    return [200, { items, has_more: hasMore, current_rev: this.#revision }];
  }

  #answerWatch(machine, url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    const list = () =>
      this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const answer = (events) => {
      this.#watches.delete(response);
      this.#send(response, [200, { events, current_rev: this.#revision }]);
    };
    if (after > this.#revision) {
      this.#send(response, [410, {}]);
      return;
    }
    const present = list();
    if (present.length > 0) {
      answer(present);
      return;
    }
    const timer = setTimeout(() => answer(list()), waitMs);
    const finish = () => {
      const events = list();
      if (events.length === 0) return;
      clearTimeout(timer);
      answer(events);
    };
    this.#watches.set(response, { response, machine, finish });
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(response);
    });
  }

  #applyTransaction({ expected = [], set_keys: puts = [], delete_keys: keys = [] }) {
    for (const { key, revision } of expected) {
      if ((this.#items.get(key)?.revision ?? 0) === revision) continue;
      return [412, { items: expected.map((row) => this.#items.get(row.key) ?? { key: row.key }) }];
    }
    for (const key of [...puts.map((row) => row.key), ...keys]) {
      if (key.startsWith('op/') || key.startsWith('servers/')) return [403, {}];
    }
    if (puts.some(({ lease }) => lease && !this.#leases.has(lease))) return [404, {}];
    for (const { key, value, lease } of puts) {
      this.put(key, Buffer.from(value, 'base64').toString(), lease ?? 0);
    }
    for (const key of keys) this.remove(key);
    return [200, { revision: this.#revision }];
  }

  #renewLease(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs) });
  }

  #endLease(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) if (item.lease === id) this.remove(item.key);
  }
}

function toBuffer(value) {
  return Buffer.from(typeof value === 'string' ? value : JSON.stringify(value));
}
