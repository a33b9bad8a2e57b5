import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

type Change = Item | { readonly key: string; readonly revision: number; readonly removed: true };

interface Transaction {
  readonly expected?: readonly { readonly key: string; readonly revision: number }[];
  readonly set_keys?: readonly { readonly key: string; readonly value: string; lease?: number }[];
  readonly delete_keys?: readonly string[];
}

type Answer = readonly [status: number, body: object];

type StoreMode = 'ok' | 'refuse' | 'hang' | 'reset' | 'error' | 'garbage';

/** Most items of one page of a range read. */
const PAGE_ITEMS = 500;

const MAX_CHANGES = 20_000;

const GARBAGE =
  'HTTP/1.1 200 OK\r\nContent-Length: 30\r\nstore-era: 1\r\n\r\n{"items":[[[\u0000\u0001]]}}}}}}}}}}}}}';

/** Stand-in of the platform's store: keys, leases that expire, watches, transactions and faults. */
export class StoreServer {
  #mode: StoreMode = 'ok';

  readonly #items = new Map<string, Item>();

  readonly #leases = new Map<number, { readonly ttlMs: number; timer: NodeJS.Timeout }>();

  /** Watch requests that wait: functions that answer them, and their responses. */
  readonly #watches = new Map<() => void, ServerResponse>();

  readonly #sockets = new Set<Socket>();

  readonly #silent = new WeakSet<Socket>();

  #changes: Change[] = [];

  #revision = 1;

  #lastLease = 100;

  readonly #host: string;

  readonly #port: number;

  readonly #server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => this.#handle(request, response, Buffer.concat(chunks).toString()));
  });

  constructor(host: string, port: number) {
    this.#host = host;
    this.#port = port;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
      if (this.#mode === 'reset') socket.resetAndDestroy();
    });
  }

  get address(): string {
    return `${this.#host}:${this.#port}`;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(this.#port, this.#host, resolve);
    });
  }

  /** Changes how calls are answered; open connections stay in the mode `hang` only. */
  async setMode(mode: StoreMode): Promise<void> {
    const isListening = this.#server.listening;
    this.#mode = mode;
    if (mode === 'reset') for (const socket of this.#sockets) socket.resetAndDestroy();
    if (mode === 'refuse') this.close();
    else if (!isListening) await this.start();
  }

  /** Lets the open connections go silent; new ones work. */
  suspendLinks(): void {
    for (const socket of this.#sockets) this.#silent.add(socket);
  }

  /** Ends the watch requests that wait without an answer; every other call is answered. */
  endWatches(): void {
    for (const response of [...this.#watches.values()]) response.destroy();
  }

  put(key: string, value: string | object, lease = 0): void {
    this.#revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item: Item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision: this.#revision,
      created: this.#items.get(key)?.created ?? this.#revision,
      lease,
    };
    this.#items.set(key, item);
    this.#recordChange(item);
  }

  remove(key: string): void {
    if (!this.#items.delete(key)) return;
    this.#revision += 1;
    this.#recordChange({ key, revision: this.#revision, removed: true });
  }

  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  #recordChange(change: Change): void {
    this.#changes.push(change);
    if (this.#changes.length > MAX_CHANGES) this.#changes = this.#changes.slice(-MAX_CHANGES / 2);
    for (const finish of [...this.#watches.keys()]) finish();
  }

  #handle(request: IncomingMessage, response: ServerResponse, body: string): void {
    if (this.#mode === 'hang' || this.#silent.has(request.socket)) return;
    if (this.#mode === 'garbage') {
      request.socket.end(GARBAGE);
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    if (this.#mode === 'ok' && url.pathname === '/kv-watch') {
      this.#answerWatch(url, response);
      return;
    }
    this.#send(response, this.#mode === 'error' ? [500, {}] : this.#answer(url, body));
  }

  #send(response: ServerResponse, [status, answer]: Answer): void {
    if (response.destroyed || response.writableEnded) return;
    if (response.socket !== null && this.#silent.has(response.socket)) return;
    response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
    response.end(JSON.stringify(answer));
  }

  #answer(url: URL, body: string): Answer {
    const id = Number(url.pathname.split('/').pop());
    if (url.pathname === '/kv-key') {
      const item = this.#items.get(url.searchParams.get('key') ?? '');
      return [item === undefined ? 404 : 200, { ...item, current_rev: this.#revision }];
    }
    if (url.pathname === '/kv-range') return this.#answerRange(url);
    if (url.pathname === '/kv-txn') return this.#applyTransaction(JSON.parse(body) as Transaction);
    if (url.pathname === '/kv-lease') {
      const { ttl_ms: ttlMs } = JSON.parse(body) as { ttl_ms: number };
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
    if (!url.pathname.startsWith('/kv-lease-end/')) return [400, {}];
    this.#endLease(id);
    return [200, {}];
  }

  #answerRange(url: URL): Answer {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = { items: found.slice(0, PAGE_ITEMS), has_more: found.length > PAGE_ITEMS };
    return [200, { ...page, current_rev: this.#revision }];
  }

  #answerWatch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const list = (): Change[] =>
      this.#changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
    let isOver = list().length > 0;
    let timer: NodeJS.Timeout | undefined;
    const finish = (): void => {
      const events = list();
      if (events.length === 0 && !isOver) return;
      clearTimeout(timer);
      this.#watches.delete(finish);
      if (this.#mode === 'ok') this.#send(response, [200, { events, current_rev: this.#revision }]);
    };
    if (isOver) {
      finish();
      return;
    }
    timer = setTimeout(
      () => {
        isOver = true;
        finish();
      },
      Number(url.searchParams.get('wait_ms')),
    );
    this.#watches.set(finish, response);
    response.on('close', () => {
      clearTimeout(timer);
      this.#watches.delete(finish);
    });
  }

  #applyTransaction(transaction: Transaction): Answer {
    const { expected = [], set_keys: puts = [], delete_keys: keys = [] } = transaction;
    for (const { key, revision } of expected) {
      if ((this.#items.get(key)?.revision ?? 0) === revision) continue;
      const items = expected.map((row) => this.#items.get(row.key) ?? { key: row.key });
      return [412, { items }];
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

  #renewLease(id: number, ttlMs: number): void {
    clearTimeout(this.#leases.get(id)?.timer);
    const timer = setTimeout(() => this.#endLease(id), ttlMs);
    timer.unref();
    this.#leases.set(id, { ttlMs, timer });
  }

  #endLease(id: number): void {
    clearTimeout(this.#leases.get(id)?.timer);
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) if (item.lease === id) this.remove(item.key);
  }
}
