import { createServer, type IncomingMessage } from 'node:http';

interface Order {
  readonly operation: string;
  readonly version?: number;
  readonly step?: number;
  readonly map?: readonly (readonly (readonly number[])[])[];
}

const SETS = 2;
const EXPERTS = 8;
const STEP_MS = 100;

/** Stand-in of one rank of a model group: reports, counts of chosen experts, and orders. */
export class RankServer {
  /** When the last status request came, steady clock in milliseconds. */
  lastReportMs = -Infinity;

  #step = 1;

  #map = 0;

  #held: number | null = null;

  #prepared: { readonly version: number; readonly experts: number[][] } | null = null;

  #armed: { readonly version: number; readonly step: number } | null = null;

  #experts: number[][] = [];

  readonly #counts = Array.from({ length: SETS * EXPERTS }, () => 0);

  readonly #timer = setInterval(() => this.#advance(), STEP_MS);

  readonly #server = createServer((request, response) => {
    void this.#handle(request).then(([status, body]) => {
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
    });
  });

  constructor(
    private readonly rank: number,
    private readonly size: number,
  ) {
    const own = Array.from({ length: EXPERTS }, (_, expert) => expert).filter(
      (expert) => expert % size === rank,
    );
    this.#experts = Array.from({ length: SETS }, () => own);
  }

  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
  }

  close(): void {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #advance(): void {
    if (this.#held === this.#step + 1) return;
    this.#step += 1;
    this.#counts[(this.#step * this.#step + this.rank) % this.#counts.length]! += 1 + this.rank;
    if (this.#armed?.step !== this.#step) return;
    this.#map = this.#armed.version;
    this.#experts = this.#prepared?.experts ?? this.#experts;
    this.#armed = null;
  }

  async #handle(request: IncomingMessage): Promise<[number, object]> {
    let body = '';
    for await (const chunk of request) body += String(chunk);
    const url = request.url ?? '/';
    if (url.startsWith('/report')) return [200, this.#report()];
    if (url.startsWith('/picked?')) {
      const map = { version: this.#map, experts: this.#experts };
      return [200, { map, prepared: this.#prepared }];
    }
    if (url.startsWith('/picked')) {
      return [200, { step: this.#step, epoch: 1, counts: this.#counts }];
    }
    if (url !== '/order') return [404, {}];
    return [this.#applyOrder(JSON.parse(body) as Order) ? 202 : 409, {}];
  }

  #report(): object {
    this.lastReportMs = performance.now();
    return {
      group: { name: 'group-1', epoch: 1, rank: this.rank, state: 'open' },
      size: this.size,
      stage: 'unified',
      models: [{ name: 'm', version: 1, adapters: [] }],
      busy: false,
      sequence: 0,
      queued: 0,
      active: 2,
      kv_used: 100,
      kv_total: 1000,
      handles: 0,
      pace: 1,
      step: this.#step,
      map: this.#map,
      prepared: this.#prepared?.version ?? null,
      armed: this.#armed,
      held: this.#held,
    };
  }

  #applyOrder({ operation, version = 0, step = 0, map = [] }: Order): boolean {
    if (operation === 'prepare') {
      const isNew = version > Math.max(this.#map, this.#prepared?.version ?? 0);
      if (!isNew || this.#armed !== null) return false;
      this.#prepared = { version, experts: map.map((set) => [...(set[this.rank] ?? [])]) };
      return true;
    }
    if (operation === 'disarm') {
      if (version === this.#map) return false;
      this.#armed = null;
      return true;
    }
    if (operation === 'go') {
      if (this.#held === step) this.#held = null;
      return true;
    }
    if (step <= this.#step) return false;
    if (operation === 'hold') {
      if (this.#held !== null && this.#held !== step) return false;
      this.#held = step;
      return true;
    }
    if (operation !== 'arm' || this.#prepared?.version !== version) return false;
    this.#armed = { version, step };
    return true;
  }
}
