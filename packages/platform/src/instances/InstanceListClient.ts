import { Agent, request } from 'undici';
import {
  InstanceRecord,
  Ok,
  fail,
  type Failure,
  type InstanceList,
  type Result,
} from '@limpetbay/core';

interface InstanceListClientOptions {
  /** Base URL; the list is at `/instances` below it. */
  readonly url: string;
  /** Longest wait for the whole list, milliseconds. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2000;
const NOT_MODIFIED = 304;

/** Reads the platform's instance list over HTTP. */
export class InstanceListClient implements InstanceList {
  readonly #url: string;

  readonly #timeoutMs: number;

  readonly #agent = new Agent({ connections: 1 });

  /** The last list and its entity tag, so that an unchanged list is not sent again. */
  #last: { readonly tag: string; readonly records: InstanceRecord[] } | null = null;

  constructor(options: InstanceListClientOptions) {
    this.#url = `${options.url.replace(/\/$/, '')}/instances`;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** A record that does not match the schema is left out; the others stay usable. */
  async fetchInstances(): Promise<Result<InstanceRecord[], Failure>> {
    let body: unknown;
    let tag: unknown;
    try {
      const response = await request(this.#url, {
        dispatcher: this.#agent,
        headers: this.#last === null ? {} : { 'if-none-match': this.#last.tag },
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      if (response.statusCode === NOT_MODIFIED && this.#last !== null) {
        await response.body.dump();
        return Ok(this.#last.records);
      }
      if (response.statusCode !== 200) {
        await response.body.dump();
        return fail('store_unavailable', `instance list: status ${response.statusCode}`);
      }
      tag = response.headers.etag;
      body = await response.body.json();
    } catch (error) {
      return fail('store_unavailable', `instance list: ${(error as Error).message}`);
    }
    if (!Array.isArray(body)) return fail('store_unavailable', 'instance list: not an array');
    const records: InstanceRecord[] = [];
    for (const item of body) {
      const parsed = InstanceRecord.safeParse(item);
      if (parsed.success) records.push(parsed.data);
    }
    this.#last = typeof tag === 'string' ? { tag, records } : null;
    return Ok(records);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
