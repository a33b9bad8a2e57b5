import { setTimeout as wait } from 'node:timers/promises';
import { Pool, buildConnector, type Dispatcher } from 'undici';
import { createParser } from 'eventsource-parser';
import { hasBody } from '../connection/hasBody.js';
import { probeReset } from '../connection/probeReset.js';
import { resetProbeMs } from '../connection/resetProbeMs.js';
import { isConnectError } from './isConnectError.js';
import { listForwardedHeaders } from './listForwardedHeaders.js';
import { requestAnswer } from './requestAnswer.js';
import type { Target } from './Target.js';
import type { TargetCall } from './TargetCall.js';
import type { TargetListener } from './TargetListener.js';

const CONNECT_TIMEOUT_MS = 1000;
const CONNECTION_IDLE_TIMEOUT_MS = 1000;
const TCP_KEEPALIVE_MS = 1000;
const END_OF_STREAM_DATA = '[DONE]';
const RESUME_HEADER = 'limpetbay-resume-from';

/** A target that is called over HTTP: a model engine or a plain service. */
export class HttpTarget implements Target {
  readonly #origin: string;

  #pool: Pool;

  /** Connections that were reset, although Node.js reported a regular end. */
  #hiddenResets = 0;

  /** @param origin scheme, address and port, such as `http://10.0.0.7:8000` */
  constructor(origin: string) {
    this.#origin = origin;
    this.#pool = this.#createPool();
  }

  send(call: TargetCall, listener: TargetListener): () => void {
    const controller = new AbortController();
    void this.#exchange(call, listener, controller.signal);
    return () => controller.abort();
  }

  replaceConnections(): void {
    const previous = this.#pool;
    this.#pool = this.#createPool();
    void previous.close();
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #exchange(call: TargetCall, listener: TargetListener, signal: AbortSignal): Promise<void> {
    try {
      const answer = await requestAnswer(this.#pool, buildRequestOptions(call, signal));
      const headers = listForwardedHeaders(answer.headers);
      listener.onHead(answer.statusCode, headers);
      const resetsBefore = this.#hiddenResets;
      const isEventStream = /^text\/event-stream/.test(
        String(answer.headers['content-type'] ?? ''),
      );
      const isComplete = isEventStream
        ? await forwardEvents(answer.body, listener)
        : await forwardBytes(answer.body, listener);
      if (hasBody(call.method, answer.statusCode) && !hasFraming(answer.headers)) {
        await wait(resetProbeMs);
        // undici does not tell which connection carried the answer, so any of them counts.
        if (this.#hiddenResets > resetsBefore) {
          listener.onFailure('the connection was reset before the end of the answer', false);
          return;
        }
      }
      if (isComplete) listener.onEnd();
      else listener.onFailure('the event stream ended without [DONE]', false);
    } catch (error) {
      listener.onFailure((error as Error).message, isConnectError(error));
    }
  }

  #createPool(): Pool {
    const connect = buildConnector({
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEPALIVE_MS,
    });
    return new Pool(this.#origin, {
      connect: (options, callback) =>
        connect(options, (...result) => {
          const [, socket] = result;
          socket?.prependListener('end', () =>
            probeReset(socket, () => {
              this.#hiddenResets += 1;
            }),
          );
          callback(...result);
        }),
      // A dead idle connection must be closed before a later call can reuse it.
      keepAliveTimeout: CONNECTION_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: CONNECTION_IDLE_TIMEOUT_MS,
      // No timeouts here: the agent monitors progress and knows the step time and the deadline.
      headersTimeout: 0,
      bodyTimeout: 0,
      // Whether a request pipelined behind a failed one was executed would be unknown.
      pipelining: 1,
    });
  }
}

function hasFraming(headers: Readonly<Record<string, unknown>>): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

function buildRequestOptions(
  call: TargetCall,
  signal: AbortSignal,
): Dispatcher.RequestOptions & { readonly signal: AbortSignal } {
  const headers: Record<string, string> = {};
  for (const { name, value } of call.headers) headers[name] = value;
  if (call.resumeFrom > 0) headers[RESUME_HEADER] = String(call.resumeFrom);
  return {
    path: call.path,
    method: call.method,
    headers,
    body: call.body.length > 0 ? Buffer.from(call.body) : null,
    signal,
    // By default undici retries an idempotent request after the connection broke.
    idempotent: false,
  };
}

/** Forwards a body without events. @returns true; the HTTP framing shows that it is complete */
async function forwardBytes(
  body: AsyncIterable<Uint8Array>,
  listener: TargetListener,
): Promise<boolean> {
  for await (const data of body) listener.onData(data, 0);
  return true;
}

/**
 * Forwards each event as one piece of data, so that a broken stream never ends inside an event.
 *
 * @returns whether the stream ended with `[DONE]`
 */
async function forwardEvents(
  body: AsyncIterable<Uint8Array>,
  listener: TargetListener,
): Promise<boolean> {
  let isComplete = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_OF_STREAM_DATA) isComplete = true;
      listener.onData(Buffer.from(`data: ${data}\n\n`), isComplete ? 0 : countTokens(data));
    },
  });
  const decoder = new TextDecoder();
  for await (const data of body) parser.feed(decoder.decode(data, { stream: true }));
  return isComplete;
}

/** Returns 1 for an event with content, which carries one token, and 0 for the closing events. */
function countTokens(data: string): number {
  return data.includes('"content"') ? 1 : 0;
}
