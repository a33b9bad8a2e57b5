import { createServer } from 'node:http';

/** Most items and bytes of one page of a range read, as on the page of the store. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;

/** How long changes stay available to watches, milliseconds (`platform.history_s`). */
const HISTORY_MS = 20_000;

/**
 * Stand-in of the platform's store: keys, leases that expire, watches, transactions. Its history is
 * kept for 20 s; older positions of a watch get 410.
 */
export class StoreStandIn {
  /** Returns whether calls to an address of the store are turned away with 503. */
  isTurnedAway = () => false;

  /** Called for each answer to a watch. */
  onWatchAnswer = () => {};

  #items = new Map();

  #leases = new Map();

  #changes = [];

  #droppedRevision = 0;

  #revision = 1;

  #lastLease = 100;

  #watches = new Set();

  #servers = [];

  /** Listens at an address; machines that are turned away at times have one of their own. */
  async start(host, port) {
    const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('error', () => {});
      request.on('end', () => {
        const body = Buffer.concat(chunks).toString();
        if (this.isTurnedAway(host)) this.#send(response, 503, {});
        else this.#handle(request, response, body);
      });
    });
    this.#servers.push(server);
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  close() {
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
    for (const server of this.#servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  /** Writes a key. @returns the revision, which is the ack */
  put(key, value, lease = 0) {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value: Buffer.from(text).toString('base64'), lease, created };
    this.#items.set(key, { ...item, revision: this.#revision });
    this.#record(this.#items.get(key));
    return this.#revision;
  }

  remove(key) {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#record({ key, revision: this.#revision, removed: true });
  }

  #record(change) {
    const nowMs = performance.now();
    this.#changes.push({ change, atMs: nowMs });
    this.#dropHistory(nowMs);
    for (const finish of [...this.#watches]) finish();
  }

  #dropHistory(nowMs) {
    while (this.#changes.length > 0 && nowMs - this.#changes[0].atMs > HISTORY_MS) {
      this.#droppedRevision = this.#changes.shift().change.revision;
    }
  }

  #handle(request, response, body) {
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/kv-watch') this.#answerWatch(url, response);
    else this.#send(response, ...this.#answer(url, body));
  }

  #send(response, status, answer) {
    if (response.destroyed || response.writableEnded) return 0;
    const text = JSON.stringify(answer);
    const headers = { 'content-type': 'application/json', 'store-era': '1' };
    response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(text) });
    response.end(text);
    return text.length;
  }

  #answer(url, body) {
    const id = Number(url.pathname.split('/').pop());
    if (url.pathname === '/kv-key') {
      const item = this.#items.get(url.searchParams.get('key') ?? '');
      return [item === undefined ? 404 : 200, { ...item, current_rev: this.#revision }];
    }
    if (url.pathname === '/kv-range') return this.#answerRange(url);
    if (url.pathname === '/kv-txn') return this.#applyTransaction(JSON.parse(body));
    if (url.pathname === '/kv-lease') {
      const { ttl_ms: ttlMs } = JSON.parse(body);
      this.#lastLease += 1;
      this.#renew(this.#lastLease, ttlMs);
      return [200, { lease: this.#lastLease, ttl_ms: ttlMs }];
    }
    if (url.pathname.startsWith('/kv-keep/')) {
      const lease = this.#leases.get(id);
      if (lease === undefined) return [404, {}];
      this.#renew(id, lease.ttlMs);
      return [200, { ttl_ms: lease.ttlMs }];
    }
    if (!url.pathname.startsWith('/kv-lease-end/')) return [400, {}];
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
      if (items.length === PAGE_ITEMS || (items.length > 0 && bytes > PAGE_BYTES)) break;
      items.push(item);
      bytes += item.value.length;
    }
    const hasMore = items.length < found.length;
    return [200, { items, has_more: hasMore, current_rev: this.#revision }];
  }

  #answerWatch(url, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    this.#dropHistory(performance.now());
    if (after < this.#droppedRevision) {
      this.#send(response, 410, {});
      return;
    }
    const list = () => {
      const events = [];
      for (const { change } of this.#changes) {
        if (change.revision > after && change.key.startsWith(prefix)) events.push(change);
      }
      return events;
    };
    const answer = (events) => {
      const bytes = this.#send(response, 200, { events, current_rev: this.#revision });
      if (bytes > 0) this.onWatchAnswer(after, events.length, bytes);
    };
    const first = list();
    if (first.length > 0) {
      answer(first);
      return;
    }
    const end = (isOver) => {
      const events = list();
      if (events.length === 0 && !isOver) return;
      clearTimeout(timer);
      this.#watches.delete(check);
      answer(events);
    };
    const check = () => end(false);
    const timer = setTimeout(() => end(true), Number(url.searchParams.get('wait_ms')));
    this.#watches.add(check);
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(check);
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

  #renew(id, ttlMs) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.set(id, { ttlMs, timer: setTimeout(() => this.#endLease(id), ttlMs) });
  }

  #endLease(id) {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) if (item.lease === id) this.remove(item.key);
  }
}
