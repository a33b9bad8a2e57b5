import { createHash } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock, InstanceRecord } from '@limpetbay/core';

interface InstanceListServerOptions {
  readonly clock: Clock;
  /** Delay before a change of the list becomes visible, milliseconds. */
  readonly lagMs?: number;
}

/** A stand-in for the platform's instance list: `GET /instances` returns a JSON array. */
export class InstanceListServer {
  readonly #clock: Clock;

  readonly #lagMs: number;

  readonly #versions: { readonly setAtMs: number; readonly records: readonly InstanceRecord[] }[] =
    [];

  #server: Server | null = null;

  #hasOutage = false;

  #callCount = 0;

  #bodyCount = 0;

  #url = '';

  constructor(options: InstanceListServerOptions) {
    this.#clock = options.clock;
    this.#lagMs = options.lagMs ?? 0;
  }

  /** Base URL; empty before the start. */
  get url(): string {
    return this.#url;
  }

  /** Starts listening. @param port 0 selects a free port @returns the base URL */
  async start(port = 0): Promise<string> {
    const server = createServer((request, response) => {
      this.#callCount += 1;
      if (this.#hasOutage || request.method !== 'GET' || request.url !== '/instances') {
        response.writeHead(this.#hasOutage ? 503 : 404).end();
        return;
      }
      const body = JSON.stringify(this.getRecords());
      const etag = `"${createHash('sha256').update(body).digest('base64url')}"`;
      if (request.headers['if-none-match'] === etag) {
        response.writeHead(304, { etag }).end();
        return;
      }
      this.#bodyCount += 1;
      response.writeHead(200, { 'content-type': 'application/json', etag });
      response.end(body);
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    this.#url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return this.#url;
  }

  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = null;
    if (server === null) return;
    server.closeAllConnections();
    await new Promise((resolve) => {
      server.close(resolve);
    });
  }

  /** Replaces the list. The new list becomes visible after the lag. */
  setRecords(records: readonly InstanceRecord[]): void {
    this.#versions.push({ setAtMs: this.#clock.getNow(), records: [...records] });
  }

  /** Returns the list that is visible now. The first list is visible at once. */
  getRecords(): readonly InstanceRecord[] {
    const visibleUntilMs = this.#clock.getNow() - this.#lagMs;
    let records = this.#versions[0]?.records ?? [];
    for (const version of this.#versions) {
      if (version.setAtMs > visibleUntilMs) break;
      records = version.records;
    }
    return records;
  }

  /** Begins or ends an outage, during which every request is answered with 503. */
  setOutage(outage: boolean): void {
    this.#hasOutage = outage;
  }

  /** Returns the number of responses that contained the list, without 304 responses. */
  countFullResponses(): number {
    return this.#bodyCount;
  }

  countCalls(): number {
    return this.#callCount;
  }
}
