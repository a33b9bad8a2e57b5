import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { readJson } from '../http/readJson.js';
import { sendJson } from '../http/sendJson.js';

interface PlainServiceOptions {
  readonly host?: string;
  /** Service time of a call, milliseconds. */
  readonly serviceMs?: number;
}

/** How the service treats its next calls: `break_*` closes the connection before or after the run. */
type Behaviour = 'answer' | 'hang' | 'break_before_run' | 'break_after_run';

/**
 * A stand-in for an instance of a plain HTTP service. `POST /bookings` with a JSON body records a
 * booking in a ledger. All instances of the service share the ledger, as they would a database.
 */
export class PlainService {
  readonly #ledger: Map<string, number>;

  readonly #host: string;

  readonly #serviceMs: number;

  #server: Server | null = null;

  #port = 0;

  behaviour: Behaviour = 'answer';

  /** @param ledger number of runs by booking id, shared by the instances of a service */
  constructor(ledger: Map<string, number>, options: PlainServiceOptions = {}) {
    this.#ledger = ledger;
    this.#host = options.host ?? '127.0.0.1';
    this.#serviceMs = options.serviceMs ?? 2;
  }

  get origin(): string {
    return `http://${this.#host}:${this.#port}`;
  }

  /** Starts or restarts the service on the same port. */
  async start(): Promise<void> {
    const server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    await new Promise<void>((resolve) => {
      server.listen(this.#port, this.#host, resolve);
    });
    this.#port = (server.address() as AddressInfo).port;
    this.#server = server;
  }

  /** Ends the service as a crash would, closing all connections. */
  kill(): void {
    this.#server?.closeAllConnections();
    this.#server?.close();
    this.#server = null;
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = (await readJson(request)) as { id?: string } | null;
    if (this.behaviour === 'break_before_run') {
      request.socket.destroy();
      return;
    }
    const id = body?.id ?? '';
    const isBooking = request.method === 'POST' && request.url?.startsWith('/bookings') === true;
    if (isBooking) this.#ledger.set(id, (this.#ledger.get(id) ?? 0) + 1);
    if (this.behaviour === 'hang') return;
    if (this.behaviour === 'break_after_run') {
      request.socket.destroy();
      return;
    }
    setTimeout(() => {
      if (isBooking) sendJson(response, 201, { booked: id, runs: this.#ledger.get(id) });
      else sendJson(response, 200, { path: request.url, bookings: this.#ledger.size });
    }, this.#serviceMs);
  }
}
