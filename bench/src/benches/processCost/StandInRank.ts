import { createServer } from 'node:http';
import { modelShape } from './modelShape.js';

interface RankShape {
  readonly rank: number;
  readonly size: number;
}

/** Interval of the passes of a group with requests, milliseconds. */
const PASS_MS = 50;

/** Choices of an expert in a pass. */
const CHOICES = 30;

/** The platform's interface of one rank whose requests, if any, choose all experts alike. */
export class StandInRank {
  #step = 1;

  #isBusy = false;

  readonly #timer = setInterval(() => this.#advance(), PASS_MS);

  readonly #counts = new Array<number>(modelShape.sets * modelShape.experts).fill(0);

  readonly #shape: RankShape;

  readonly #server = createServer((request, response) => {
    const body = JSON.stringify(this.#answer(request.url ?? '/'));
    response.writeHead(200, { 'content-type': 'application/json' }).end(body);
  });

  constructor(shape: RankShape) {
    this.#shape = shape;
  }

  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(port, host, resolve);
    });
  }

  beginRequests(): void {
    this.#isBusy = true;
  }

  close(): void {
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  readStatus() {
    const { rank, size } = this.#shape;
    const load = this.#isBusy ? { active: 4, queued: 1 } : { active: 0, queued: 0 };
    return { ...load, rank, size, step: this.#step };
  }

  #advance(): void {
    if (!this.#isBusy) return;
    this.#step += 1;
    for (const index of this.#counts.keys()) this.#counts[index]! += CHOICES;
  }

  #answer(url: string): object {
    if (url.startsWith('/picked?')) return { map: { version: 0, experts: [] }, prepared: null };
    if (url.startsWith('/picked')) return { step: this.#step, epoch: 1, counts: this.#counts };
    const { rank, size, ...load } = this.readStatus();
    const group = { name: 'group-1', epoch: 1, rank, state: 'open' };
    const memory = { kv_used: 100, kv_total: 1000 };
    const switching = { map: 0, prepared: null, armed: null, held: null };
    return { group, size, busy: false, ...load, ...memory, ...switching };
  }
}
