import { Pool, type Dispatcher } from 'undici';
import { createParser } from 'eventsource-parser';
import { isNeverSent } from './isNeverSent.js';
import { listHeaders } from './listHeaders.js';
import type { Target } from './Target.js';
import type { TargetCall } from './TargetCall.js';
import type { TargetListener } from './TargetListener.js';

const CONNECT_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 1000;
const TCP_KEEPALIVE_MS = 1000;
const END_OF_STREAM = '[DONE]';
const RESUME_HEADER = 'limpetbay-resume-from';

/** A target that is reached by HTTP: a model engine or a plain service. */
export class HttpTarget implements Target {
  readonly #origin: string;

  #pool: Pool;

  /** @param origin scheme, address and port, such as `http://10.0.0.7:8000` */
  constructor(origin: string) {
    this.#origin = origin;
    this.#pool = createPool(origin);
  }

  run(call: TargetCall, listener: TargetListener): () => void {
    const controller = new AbortController();
    void this.#exchange(call, listener, controller.signal);
    return () => controller.abort();
  }

  replaceConnections(): void {
    const old = this.#pool;
    this.#pool = createPool(this.#origin);
    void old.close();
  }

  async close(): Promise<void> {
    await this.#pool.destroy();
  }

  async #exchange(call: TargetCall, listener: TargetListener, signal: AbortSignal): Promise<void> {
    try {
      const answer = await this.#pool.request(toOptions(call, signal));
      const headers = listHeaders(answer.headers);
      listener.acceptHead(answer.statusCode, headers);
      const isStream = /^text\/event-stream/.test(String(answer.headers['content-type'] ?? ''));
      const complete = isStream
        ? await forwardEvents(answer.body, listener)
        : await forwardBytes(answer.body, listener);
      if (complete) listener.acceptEnd();
      else listener.acceptFailure('the stream ended without its end mark', false);
    } catch (error) {
      listener.acceptFailure((error as Error).message, isNeverSent(error));
    }
  }
}

function createPool(origin: string): Pool {
  return new Pool(origin, {
    connect: {
      timeout: CONNECT_TIMEOUT_MS,
      keepAlive: true,
      keepAliveInitialDelay: TCP_KEEPALIVE_MS,
    },
    // An idle connection that went silent is dropped before a later call can take it.
    keepAliveTimeout: IDLE_TIMEOUT_MS,
    keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
    // Progress is watched by the agent, which knows the step time and the deadline.
    headersTimeout: 0,
    bodyTimeout: 0,
    // A pipelined request behind a broken one may or may not have been run.
    pipelining: 1,
  });
}

function toOptions(call: TargetCall, signal: AbortSignal): Dispatcher.RequestOptions {
  const headers: Record<string, string> = {};
  for (const { name, value } of call.headers) headers[name] = value;
  if (call.resumeFrom > 0) headers[RESUME_HEADER] = String(call.resumeFrom);
  return {
    path: call.path,
    method: call.method,
    headers,
    body: call.body.length > 0 ? Buffer.from(call.body) : null,
    signal,
    // undici sends an idempotent request again after a broken connection unless told otherwise.
    idempotent: false,
  };
}

async function forwardBytes(
  body: AsyncIterable<Uint8Array>,
  listener: TargetListener,
): Promise<boolean> {
  for await (const data of body) listener.acceptData(data, 0);
  return true;
}

/** Forwards each event as one piece of data, so that a break never falls inside an event. */
async function forwardEvents(
  body: AsyncIterable<Uint8Array>,
  listener: TargetListener,
): Promise<boolean> {
  let complete = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === END_OF_STREAM) complete = true;
      listener.acceptData(Buffer.from(`data: ${data}\n\n`), complete ? 0 : countTokens(data));
    },
  });
  const decoder = new TextDecoder();
  for await (const data of body) parser.feed(decoder.decode(data, { stream: true }));
  return complete;
}

/** Each event of an engine's stream carries one token, except the closing ones without content. */
function countTokens(data: string): number {
  return data.includes('"content"') ? 1 : 0;
}
