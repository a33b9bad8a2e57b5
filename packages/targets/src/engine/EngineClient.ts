import { Pool } from 'undici';
import { Ok, fail, type Failure, type Result } from '@limpetbay/core';
import type { z } from 'zod';
import { EngineLoad } from './EngineLoad.js';

const TIMEOUT_MS = 1000;

/** The control paths of a model engine: load reports, orders and step grants. */
export class EngineClient {
  readonly #pool: Pool;

  /** @param origin scheme, address and port of the engine */
  constructor(origin: string) {
    this.#pool = new Pool(origin, { headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });
  }

  /** Reads the engine's load report. */
  getLoad(): Promise<Result<EngineLoad, Failure>> {
    return this.read('/load', EngineLoad);
  }

  /** Reads a control path and checks the answer. @returns `target_error` where it does not fit */
  read<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    return this.#ask('GET', path, undefined, schema);
  }

  /**
   * Sends a control request and checks the answer.
   *
   * @returns `stale_epoch` where the engine refused an old fencing number, `target_error` else
   */
  async send<Schema extends z.ZodType>(
    path: string,
    body: object,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    return this.#ask('POST', path, JSON.stringify(body), schema);
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #ask<Schema extends z.ZodType>(
    method: 'GET' | 'POST',
    path: string,
    body: string | undefined,
    schema: Schema,
  ): Promise<Result<z.infer<Schema>, Failure>> {
    try {
      const answer = await this.#pool.request({
        method,
        path,
        body: body ?? null,
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      const content: unknown = await answer.body.json();
      if (answer.statusCode === 409) return fail('stale_epoch', `${path}: refused an old epoch`);
      const checked = schema.safeParse(content);
      if (answer.statusCode === 200 && checked.success) return Ok(checked.data);
      return fail('target_error', `${path}: status ${answer.statusCode}`);
    } catch (error) {
      return fail('target_error', `${path}: ${(error as Error).message}`);
    }
  }
}
