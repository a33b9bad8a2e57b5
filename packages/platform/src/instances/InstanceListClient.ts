import { Agent, request } from 'undici';
import {
  InstanceRecord,
  Ok,
  evaluateStatus,
  fail,
  type Failure,
  type InstanceList,
  type Result,
} from '@limpetbay/core';

interface InstanceListClientOptions {
  /** Base URL; the list is at `/instances` below it. */
  readonly url: string;
  /** Timeout for receiving the complete list, milliseconds. */
  readonly timeoutMs?: number;
}

const DEFAULT_TIMEOUT_MS = 2000;
const NOT_MODIFIED = 304;

/** Reads the platform's instance list over HTTP. */
export class InstanceListClient implements InstanceList {
  readonly #url: string;

  readonly #timeoutMs: number;

  readonly #agent = new Agent({ connections: 1 });

  /** Last list and its entity tag, so that an unchanged list is not sent again. */
  #cachedList: { readonly tag: string; readonly records: InstanceRecord[] } | null = null;

  constructor(options: InstanceListClientOptions) {
    this.#url = `${options.url.replace(/\/$/, '')}/instances`;
    this.#timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  /** Fetches the list. Leaves out records that do not match the schema. */
  async fetchInstances(): Promise<Result<InstanceRecord[], Failure>> {
    let body: unknown;
    let tag: unknown;
    const refusal = new AbortController();
    try {
      const response = await request(this.#url, {
        dispatcher: this.#agent,
        headers: this.#cachedList === null ? {} : { 'if-none-match': this.#cachedList.tag },
        signal: AbortSignal.any([AbortSignal.timeout(this.#timeoutMs), refusal.signal]),
        // undici takes every status below 200 for an informational one.
        onInfo: ({ statusCode }) => {
          if (evaluateStatus(statusCode) !== 'invalid') return;
          refusal.abort(new Error(`the status ${statusCode} of the answer is not valid`));
        },
      });
      if (evaluateStatus(response.statusCode) !== 'final') {
        response.body.on('error', () => {}).destroy();
        return fail(
          'store_unavailable',
          `instance list: status ${response.statusCode} is not valid`,
        );
      }
      if (response.statusCode === NOT_MODIFIED && this.#cachedList !== null) {
        await response.body.dump();
        return Ok(this.#cachedList.records);
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
    this.#cachedList = typeof tag === 'string' ? { tag, records } : null;
    return Ok(records);
  }

  async close(): Promise<void> {
    await this.#agent.destroy();
  }
}
