import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { RandomSource } from '@limpetbay/core';
import type { Ledger } from '../check/Ledger.js';
import type { Instance } from '../processes/Instance.js';
import type { CallOptions } from './CallOptions.js';
import { callEntry } from './callEntry.js';

const LIMIT_MS = 8000;

/** Pause after a connection that was refused, milliseconds. */
const REFUSED_PAUSE_MS = 50;

const MAX_PAUSE_MS = 250;

/** Share of the requests that follow the last answer at once. */
const BUSY_SHARE = 0.3;

/** Share of long answers that the caller reads late. */
const SLOW_READER_SHARE = 0.3;

const MAX_UPLOAD_BYTES = 65_536;
const MAX_LARGE_BYTES = 400_000;

/** Sends one request after the other to an entry, on a connection that it keeps while it is open. */
export class Caller {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  #sent = 0;

  constructor(
    private readonly name: string,
    private readonly entry: Instance,
    private readonly random: RandomSource,
    private readonly ledger: Ledger,
  ) {}

  /** Calls until the steady clock reaches a time, milliseconds. */
  async run(endMs: number): Promise<void> {
    const { entry } = this;
    while (performance.now() < endMs) {
      this.#sent += 1;
      const record = await callEntry(`${this.name}-${this.#sent}`, {
        entry: entry.name,
        host: entry.host,
        port: entry.ports.front,
        agent: this.#agent,
        limitMs: LIMIT_MS,
        ...this.#draw(),
      });
      this.ledger.requests.push(record);
      if (record.outcome === 'closed') await sleep(REFUSED_PAUSE_MS);
      else if (this.random.next() > BUSY_SHARE) await sleep(this.random.next() * MAX_PAUSE_MS);
    }
    this.#agent.destroy();
  }

  #draw(): Pick<CallOptions, 'method' | 'path' | 'body' | 'pauseMs'> {
    const kind = this.random.next();
    const size = this.random.next();
    const ms = Math.floor(size * 100);
    if (kind < 0.35) return { method: 'GET', path: `/lookup/a?ms=${ms}` };
    if (kind < 0.55) return { method: 'POST', path: `/order/a?ms=${ms}` };
    if (kind < 0.65) return { method: 'GET', path: `/lookup/b?ms=${ms * 25}` };
    if (kind < 0.7) return { method: 'POST', path: `/order/b?ms=${ms * 20}` };
    if (kind < 0.82) return { method: 'POST', path: `/note/a?ms=${ms * 3}` };
    if (kind < 0.92) {
      const body = Buffer.alloc(Math.floor(size * MAX_UPLOAD_BYTES), this.name);
      return { method: 'POST', path: `/upload/a?ms=${ms}`, body };
    }
    const path = `/large/${Math.floor(size * MAX_LARGE_BYTES)}?ms=${ms}`;
    if (this.random.next() > SLOW_READER_SHARE) return { method: 'GET', path };
    return { method: 'GET', path, pauseMs: ms * 10 };
  }
}
