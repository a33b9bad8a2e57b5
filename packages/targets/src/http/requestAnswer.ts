import { evaluateStatus } from '@limpetbay/core';
import type { Dispatcher, Pool } from 'undici';

/**
 * Sends a request and waits for the head of its answer.
 *
 * @throws if the status of a head is not valid, after its connection was closed
 */
export async function requestAnswer(
  pool: Pool,
  options: Dispatcher.RequestOptions & { readonly signal: AbortSignal },
): Promise<Dispatcher.ResponseData> {
  const refusal = new AbortController();
  const answer = await pool.request({
    ...options,
    signal: AbortSignal.any([options.signal, refusal.signal]),
    // undici takes every status below 200 for an informational one.
    onInfo: ({ statusCode }) => {
      if (evaluateStatus(statusCode) === 'invalid') refusal.abort(buildError(statusCode));
    },
  });
  if (evaluateStatus(answer.statusCode) === 'final') return answer;
  answer.body.on('error', () => {}).destroy();
  throw buildError(answer.statusCode);
}

function buildError(status: number): Error {
  return new Error(`the status ${status} of the answer is not valid`);
}
