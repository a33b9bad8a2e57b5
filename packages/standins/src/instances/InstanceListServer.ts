import { createHash } from 'node:crypto';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock, InstanceRecord } from '@limpetbay/core';

interface InstanceListServerOptions {
  readonly clock: Clock;
  /** How late the list shows a change, milliseconds. */
  readonly lagMs?: number;
}

/** A stand-in for the platform's instance list: `GET /instances`, a JSON array, with a lag. */
export class InstanceListServer {
  readonly #clock: Clock;

  readonly #lagMs: number;

  readonly #versions: { readonly at: number; readonly records: readonly InstanceRecord[] }[] = [];

  #server: Server | null = null;

  #outage = false;

  #calls = 0;

  #bodies = 0;

  #address = '';

  constructor(options: InstanceListServerOptions) {
    this.#clock = options.clock;
    this.#lagMs = options.lagMs ?? 0;
  }

  /** Base URL once started. */
  get url(): string {
    return this.#address;
  }

  /** Starts listening. @returns the base URL */
  async start(port = 0): Promise<string> {
    const server = createServer((request, response) => {
      this.#calls += 1;
      if (this.#outage || request.method !== 'GET' || request.url !== '/instances') {
        response.writeHead(this.#outage ? 503 : 404).end();
        return;
      }
      const body = JSON.stringify(this.getRecords());
      const etag = `"${createHash('sha256').update(body).digest('base64url')}"`;
      if (request.headers['if-none-match'] === etag) {
        response.writeHead(304, { etag }).end();
        return;
      }
      this.#bodies += 1;
      response.writeHead(200, { 'content-type': 'application/json', etag });
      response.end(body);
    });
    this.#server = server;
    await new Promise<void>((resolve) => {
      server.listen(port, '127.0.0.1', resolve);
    });
    this.#address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    return this.#address;
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

  /** Replaces the list; readers see it after the lag. */
  setRecords(records: readonly InstanceRecord[]): void {
    this.#versions.push({ at: this.#clock.getNow(), records: [...records] });
  }

  /** Returns what a reader sees now; the first list is visible at once. */
  getRecords(): readonly InstanceRecord[] {
    const visible = this.#clock.getNow() - this.#lagMs;
    let records = this.#versions[0]?.records ?? [];
    for (const version of this.#versions) {
      if (version.at > visible) break;
      records = version.records;
    }
    return records;
  }

  /** Begins or ends an outage, during which the list answers 503. */
  setOutage(outage: boolean): void {
    this.#outage = outage;
  }

  /** Counts the answers that carried the list. */
  countBodies(): number {
    return this.#bodies;
  }

  countCalls(): number {
    return this.#calls;
  }
}
