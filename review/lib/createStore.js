import { createServer } from 'node:http';

/** Most items of one page of a range read. */
const PAGE_ITEMS = 500;

/**
 * Starts a stand-in of the platform's store: keys, leases that expire, watches and transactions.
 *
 * @param host address to listen on
 * @param planTransaction called with each transaction; may return `{ lateMs }`: the transaction gets
 *   no answer and is carried out that much later, or `{ isSilent }`: it gets no answer and is done
 */
export async function createStore(host, planTransaction = () => null) {
  const items = new Map();
  const leases = new Map();
  const watches = new Set();
  const sockets = new Set();
  let changes = [];
  let revision = 1;
  let lastLease = 100;

  function recordChange(change) {
    changes.push(change);
    changes = changes.slice(-5000);
    for (const finish of [...watches]) finish();
  }

  function put(key, value, lease = 0) {
    revision += 1;
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      revision,
      created: items.get(key)?.created ?? revision,
      lease,
    };
    items.set(key, item);
    recordChange(item);
  }

  function remove(key) {
    if (!items.delete(key)) return;
    revision += 1;
    recordChange({ key, revision, removed: true });
  }

  function endLease(id) {
    clearTimeout(leases.get(id)?.timer);
    leases.delete(id);
    for (const item of [...items.values()]) if (item.lease === id) remove(item.key);
  }

  function renewLease(id, ttlMs) {
    clearTimeout(leases.get(id)?.timer);
    leases.set(id, { ttlMs, timer: setTimeout(() => endLease(id), ttlMs) });
  }

  function applyTransaction({ expected = [], set_keys: puts = [], delete_keys: keys = [] }) {
    for (const { key, revision: wanted } of expected) {
      if ((items.get(key)?.revision ?? 0) !== wanted) {
        return [412, { items: expected.map((row) => items.get(row.key) ?? { key: row.key }) }];
      }
    }
    for (const key of [...puts.map((row) => row.key), ...keys]) {
      if (key.startsWith('op/') || key.startsWith('servers/')) return [403, {}];
    }
    if (puts.some(({ lease }) => lease && !leases.has(lease))) return [404, {}];
    for (const { key, value, lease } of puts) {
      put(key, Buffer.from(value, 'base64').toString(), lease ?? 0);
    }
    for (const key of keys) remove(key);
    return [200, { revision }];
  }

  function answerWatch(url, send, response) {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = Number(url.searchParams.get('after'));
    const list = () =>
      changes.filter((item) => item.key.startsWith(prefix) && item.revision > after);
    let timer = null;
    const finish = () => {
      if (list().length === 0 && timer !== null && !timer.isOver) return;
      clearTimeout(timer?.handle);
      watches.delete(finish);
      send(200, { events: list(), current_rev: revision });
    };
    if (list().length > 0) {
      finish();
      return;
    }
    timer = { isOver: false, handle: null };
    timer.handle = setTimeout(
      () => {
        timer.isOver = true;
        finish();
      },
      Number(url.searchParams.get('wait_ms')),
    );
    watches.add(finish);
    response.on('close', () => {
      clearTimeout(timer.handle);
      watches.delete(finish);
    });
  }

  function answerCall(request, response, body) {
    const url = new URL(request.url, 'http://store');
    const send = (status, answer) => {
      if (response.destroyed || response.writableEnded) return;
      response.writeHead(status, { 'content-type': 'application/json', 'store-era': '1' });
      response.end(JSON.stringify(answer));
    };
    const path = url.pathname;
    if (path === '/kv-key') {
      const item = items.get(url.searchParams.get('key'));
      send(item === undefined ? 404 : 200, { ...item, current_rev: revision });
    } else if (path === '/kv-range') {
      const prefix = url.searchParams.get('prefix') ?? '';
      const after = url.searchParams.get('after') ?? '';
      const found = [...items.values()]
        .filter(({ key }) => key.startsWith(prefix) && key > after)
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      send(200, {
        items: found.slice(0, PAGE_ITEMS),
        has_more: found.length > PAGE_ITEMS,
        current_rev: revision,
      });
    } else if (path === '/kv-watch') answerWatch(url, send, response);
    else if (path === '/kv-txn') {
      const transaction = JSON.parse(body);
      const plan = planTransaction(transaction);
      if (plan?.lateMs !== undefined) setTimeout(() => applyTransaction(transaction), plan.lateMs);
      else {
        const [status, answer] = applyTransaction(transaction);
        if (!plan?.isSilent) send(status, answer);
      }
    } else if (path === '/kv-lease') {
      lastLease += 1;
      const { ttl_ms: ttlMs } = JSON.parse(body);
      renewLease(lastLease, ttlMs);
      send(200, { lease: lastLease, ttl_ms: ttlMs });
    } else if (path.startsWith('/kv-keep/')) {
      const id = Number(path.split('/').pop());
      const lease = leases.get(id);
      if (lease === undefined) send(404, {});
      else {
        renewLease(id, lease.ttlMs);
        send(200, { ttl_ms: lease.ttlMs });
      }
    } else if (path.startsWith('/kv-lease-end/')) {
      endLease(Number(path.split('/').pop()));
      send(200, {});
    } else send(400, {});
  }

  const server = createServer({ keepAliveTimeout: 60_000 }, (request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => answerCall(request, response, Buffer.concat(chunks).toString()));
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    address: `${host}:${server.address().port}`,
    put,
    remove,
    has: (key) => items.has(key),
    listKeys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close() {
      for (const { timer } of leases.values()) clearTimeout(timer);
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
