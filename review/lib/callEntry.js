import { request } from 'node:http';

let lastId = 0;

/**
 * Sends a request to an entry as a client does.
 *
 * @param options `address` (`IP:PORT`), `path`, `method`, `key`, `limitMs` (time limit of the
 *   client), `headers` (further ones), `agent` (of a kept channel; without it the channel is new)
 * @returns id, status (null without an answer), body, `isKept` (whether the channel had answered an
 *   earlier request), `outcome` (`answered`, `cut`, `gave up`) and times in milliseconds
 */
export function callEntry(options) {
  const { address, path, method = 'GET', key = 'key-1', limitMs = 1000, agent = false } = options;
  const [host, port] = address.split(':');
  lastId += 1;
  const id = `request-${process.pid}-${lastId}`;
  const startMs = performance.now();
  return new Promise((resolve) => {
    let head = null;
    const chunks = [];
    const finish = (outcome, cause = '') => {
      clearTimeout(timer);
      const body = Buffer.concat(chunks).toString();
      const endMs = performance.now();
      const status = head?.statusCode ?? null;
      const isKept = call.reusedSocket;
      resolve({ id, path, status, body, outcome, cause, isKept, startMs, endMs });
    };
    const call = request({
      host,
      port,
      path,
      method,
      agent,
      headers: {
        Host: 'app.example',
        'X-Limpetbay-Request-Id': id,
        'X-Limpetbay-Request-Deadline': String(limitMs),
        Authorization: `Bearer ${key}`,
        ...(method === 'POST' ? { 'Content-Length': '0' } : {}),
        ...options.headers,
      },
    });
    let timer = null;
    timer = setTimeout(
      () => {
        finish('gave up');
        call.destroy();
      },
      options.patienceMs ?? limitMs + 1000,
    );
    call.on('response', (response) => {
      head = response;
      response.on('data', (data) => chunks.push(data));
      response.on('end', () => finish('answered'));
      response.on('error', (error) => finish('cut', error.code));
    });
    call.on('error', (error) => finish('cut', error.code));
    call.end();
  });
}
