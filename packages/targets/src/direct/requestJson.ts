import {
  BodyBuffer,
  Ok,
  fail,
  parseJson,
  type BodyBudget,
  type Failure,
  type Result,
} from '@limpetbay/core';
import { scheduleTimer } from '@limpetbay/runtime';
import type { DirectPool } from './DirectPool.js';

interface JsonRequest {
  readonly method: string;
  /** Path with its query. */
  readonly url: string;
  readonly body?: unknown;
  /** Longest wait for the complete answer, milliseconds. */
  readonly timeoutMs: number;
  /** Largest body of an answer; a longer one fails the request. */
  readonly maxBodyBytes: number;
  /** Limit that the answer shares with other bodies; none by default. */
  readonly bodyBudget?: BodyBudget;
  /** Longest idle time of a connection that is reused, milliseconds; 5 s by default. */
  readonly maxIdleMs?: number;
  /** Called if the answer breaks off or is given up before its end, with the bytes of its body so far. */
  readonly onIncomplete?: (bytes: number) => void;
  /** Cancels the request, which then fails with `outcome_unknown`. */
  readonly signal?: AbortSignal;
}

interface JsonAnswer {
  readonly status: number;
  /** By lower-case name; a repeated header has an array of values. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Undefined if the answer has no body. */
  readonly body: unknown;
}

/** Connections that were idle for longer may be dead and are not reused by default. */
const DEFAULT_MAX_IDLE_MS = 5000;

/**
 * Sends one request with a JSON body and reads the JSON answer.
 *
 * @returns `store_unavailable` if nothing was sent, `outcome_unknown` if no complete answer with
 *   valid JSON arrived, or more than `maxBodyBytes`
 */
export function requestJson(
  pool: DirectPool,
  request: JsonRequest,
): Promise<Result<JsonAnswer, Failure>> {
  const { method, url, timeoutMs, maxBodyBytes, bodyBudget, signal } = request;
  const { maxIdleMs = DEFAULT_MAX_IDLE_MS } = request;
  const body = request.body === undefined ? null : Buffer.from(JSON.stringify(request.body));
  const requestHeaders = body === null ? [] : ['content-type', 'application/json'];
  return new Promise((resolve) => {
    const answerBody = new BodyBuffer({
      maxBytes: maxBodyBytes,
      ...(bodyBudget === undefined ? {} : { budget: bodyBudget }),
      onEvicted: () => abandon('the bodies of all answers take too much memory'),
    });
    let head: Pick<JsonAnswer, 'status' | 'headers'> = { status: 0, headers: {} };
    let receivedBytes = 0;
    const abandon = (reason: string): void => {
      cancel();
      request.onIncomplete?.(receivedBytes);
      finish(fail('outcome_unknown', `${url}: ${reason}`));
    };
    const handleAbort = (): void => abandon('cancelled');
    const cancelTimer = scheduleTimer(timeoutMs, () =>
      abandon(`no complete answer within ${timeoutMs} ms`),
    );
    const finish = (result: Result<JsonAnswer, Failure>): void => {
      cancelTimer();
      answerBody.clear();
      signal?.removeEventListener('abort', handleAbort);
      resolve(result);
    };
    const cancel = pool.send(
      { method, url, headers: requestHeaders, body, maxIdleMs },
      {
        onHead: (status, headers) => {
          head = { status, headers };
        },
        onData: (data) => {
          receivedBytes += data.length;
          if (!answerBody.append(data)) abandon(`the answer is longer than ${maxBodyBytes} bytes`);
        },
        onEnd: () => finish(decodeAnswer(url, head, answerBody.take())),
        onFailure: (message, isUnsent) => {
          request.onIncomplete?.(receivedBytes);
          const kind = isUnsent ? 'store_unavailable' : 'outcome_unknown';
          finish(fail(kind, `${url}: ${message}`));
        },
      },
    );
    if (signal?.aborted === true) handleAbort();
    else signal?.addEventListener('abort', handleAbort);
  });
}

function decodeAnswer(
  url: string,
  head: Pick<JsonAnswer, 'status' | 'headers'>,
  bytes: Buffer,
): Result<JsonAnswer, Failure> {
  if (bytes.length === 0) return Ok({ ...head, body: undefined });
  const body = parseJson(bytes.toString());
  if (body.ok) return Ok({ ...head, body: body.val });
  return fail('outcome_unknown', `${url}: the answer is ${body.val.message}`);
}
