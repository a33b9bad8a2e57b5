import { Agent, request as openRequest } from 'node:http';

/** Client of one entry: sends requests on kept connections and tells how each ended. */
export class Client {
  /** All requests, with their times on the steady clock and their outcomes. */
  requests = [];

  #agent = new Agent({ keepAlive: true });

  #count = 0;

  constructor({ entry, name, key = 'key-1', host = 'app.example' }) {
    this.entry = entry;
    this.name = name;
    this.key = key;
    this.host = host;
  }

  /** Sends a request. @returns its record, once it has ended */
  send({ method = 'GET', path, body = '', deadlineMs = 5000, headers = {} }) {
    this.#count += 1;
    const record = {
      id: `${this.name}-${this.#count}`,
      path,
      sentMs: performance.now(),
      endMs: null,
      status: null,
      isSigned: false,
      body: null,
      cause: null,
      retryAfter: null,
    };
    this.requests.push(record);
    return new Promise((resolve) => {
      const finish = (cause) => {
        if (record.endMs !== null) return;
        Object.assign(record, { endMs: performance.now(), cause });
        resolve(record);
      };
      const request = openRequest(
        {
          agent: this.#agent,
          host: this.entry.host,
          port: this.entry.ports.front,
          method,
          path,
          headers: {
            Host: this.host,
            'X-Limpetbay-Request-Id': record.id,
            'X-Limpetbay-Request-Deadline': String(deadlineMs),
            Authorization: `Bearer ${this.key}`,
            ...(body.length > 0 ? { 'Content-Length': String(Buffer.byteLength(body)) } : {}),
            ...headers,
          },
        },
        (response) => {
          const chunks = [];
          record.status = response.statusCode;
          record.isSigned = response.headers['x-limpetbay-response-signature'] !== undefined;
          record.retryAfter = response.headers['retry-after'] ?? null;
          response.on('data', (chunk) => chunks.push(chunk));
          response.on('end', () => {
            record.body = Buffer.concat(chunks).toString();
            finish('answered');
          });
          response.on('error', (error) => finish(error.code ?? error.message));
          response.on('close', () => finish('closed'));
        },
      );
      request.setTimeout(deadlineMs, () => {
        finish('time limit');
        request.destroy();
      });
      request.on('error', (error) => finish(error.code ?? error.message));
      request.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}
