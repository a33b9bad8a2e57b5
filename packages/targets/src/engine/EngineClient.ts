import { Pool } from 'undici';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import type { z } from 'zod';
import { requestAnswer } from '../http/requestAnswer.js';
import { EngineLoad } from './EngineLoad.js';

const REQUEST_TIMEOUT_MS = 1000;

/** HTTP client of a model engine's control paths: load reports, orders and step grants. */
export class EngineClient {
  readonly #pool: Pool;

  /** @param origin scheme, address and port of the engine */
  constructor(origin: string) {
    this.#pool = new Pool(origin, {
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
  }

  /** Reads the engine's load report. */
  getLoad(): Promise<Result<EngineLoad, Failure>> {
    return this.read('/load', EngineLoad);
  }

  /** Reads a control path and parses the answer. @returns `target_error` for any other answer */
  read<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    return this.#request('GET', path, undefined, schema);
  }

  /**
   * Sends a control request and parses the answer.
   *
   * @returns `stale_epoch` if the engine refused an old fencing number, `target_error` for any other
   *   failure
   */
  async send<Schema extends z.ZodType>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    return this.#request('POST', path, JSON.stringify(body), schema);
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #request<Schema extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    try {
      const answer = await requestAnswer(this.#pool, {
        method,
        path,
        body: body ?? null,
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      const json: unknown = await answer.body.json();
      if (answer.statusCode === 409) return fail('stale_epoch', `${path}: refused an old epoch`);
      const parsed = schema.safeParse(json);
      if (answer.statusCode === 200 && parsed.success) return Ok(parsed.data);
      return fail('target_error', `${path}: unexpected answer, status ${answer.statusCode}`);
    } catch (error) {
      return fail('target_error', `${path}: ${(error as Error).message}`);
    }
  }
}
