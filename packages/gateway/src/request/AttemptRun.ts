import {
  EventSplitter,
  type AttemptOutcome,
  type DirectRoute,
  type DirectTarget,
} from '@limpetbay/core';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AttemptListener } from './AttemptListener.js';
import type { GatewayParts } from './GatewayParts.js';

interface AttemptOptions {
  readonly parts: GatewayParts;
  readonly route: DirectRoute;
  readonly target: DirectTarget;
  readonly requestId: string;
  readonly call: {
    readonly method: string;
    readonly url: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
  };
  readonly listener: AttemptListener;
}

/**
 * A connection may lie idle for this long before it carries a request that may not be repeated;
 * on an older one, a close by the target that crosses the request leaves its fate unknown.
 */
const MAX_IDLE_ONCE_MS = 500;

/** The same for requests that may be repeated. */
const MAX_IDLE_MS = 3000;

/** Multiple of the latency objective after which a silent target is given up. */
const SILENCE_OBJECTIVES = 3;

/** Pause inside a stream after which it goes on at another target, milliseconds. */
const STREAM_SILENCE_MS = 1400;

/** First status of a failure. */
const FIRST_FAILURE = 500;

const SUCCESS_STATUSES = { first: 200, last: 299 } as const;

/** One sending of a request to one target. */
export class AttemptRun {
  readonly #options: AttemptOptions;

  readonly #splitter = new EventSplitter();

  readonly #startMs: number;

  #head: AnswerHead | null = null;

  #chunks: Buffer[] = [];

  #hasEvents = false;

  #isOver = false;

  #stop: (() => void) | null = null;

  #cancelSilence: (() => void) | null = null;

  constructor(options: AttemptOptions) {
    this.#options = options;
    this.#startMs = options.parts.clock.getNow();
  }

  start(): void {
    const { parts, route, target, call } = this.#options;
    parts.picker.getStats(target.id).recordSent(this.#startMs);
    this.#watchSilence();
    this.#stop = parts.getPool(target.address).send(
      {
        ...call,
        body: call.body.length > 0 ? call.body : null,
        maxIdleMs: route.kind === 'unsafe' ? MAX_IDLE_ONCE_MS : MAX_IDLE_MS,
      },
      {
        acceptHead: (status, headers) => this.#acceptHead(parts.codec.readAnswer(status, headers)),
        acceptData: (data) => this.#acceptData(data),
        acceptEnd: () => this.#acceptEnd(),
        acceptFailure: (message, neverSent) =>
          this.#fail(neverSent ? 'unreachable' : 'broken', message),
      },
    );
  }

  /** Gives the attempt up: the connection is closed, the target drops the request. */
  cancel(): void {
    if (this.#isOver) return;
    this.#end();
    this.#stop?.();
  }

  #acceptHead(head: AnswerHead): void {
    if (this.#isOver) return;
    this.#head = head;
    if (head.isNotRun || head.isMisdirected) return;
    if (head.requestId === this.#options.requestId) return;
    this.#stop?.();
    this.#fail('broken', 'the answer belongs to another request');
  }

  #acceptData(data: Buffer): void {
    if (this.#isOver) return;
    if (this.#head === null || !this.#isEventStream(this.#head)) {
      this.#chunks.push(data);
      return;
    }
    const events = this.#splitter.accept(data);
    if (events.count === 0) return;
    if (!this.#hasEvents) this.#recordFirst();
    this.#watchSilence();
    this.#options.listener.acceptEvents(this.#head, events.bytes, events.lastId);
  }

  #acceptEnd(): void {
    if (this.#isOver) return;
    const head = this.#head as AnswerHead;
    const rest = this.#splitter.takeRest();
    const body = Buffer.concat([...this.#chunks, rest]);
    if (head.isMisdirected) {
      this.#options.parts.registry.remove(this.#options.target.id);
      this.#fail('rejected', 'another target has the address');
    } else if (head.isNotRun) {
      this.#fail('rejected', `the target rejected the request with ${head.status}`);
    } else if (isSuccess(head.status) && !head.isSigned) {
      this.#fail('broken', 'the answer bears no signature');
    } else if (head.status >= FIRST_FAILURE) {
      this.#fail('failed', `the target answered ${head.status}`, { head, body });
    } else {
      if (!this.#hasEvents) this.#recordFirst();
      this.#end();
      this.#options.listener.acceptResult({ kind: 'done', head, body });
    }
  }

  #isEventStream(head: AnswerHead): boolean {
    return this.#options.route.kind === 'stream' && isSuccess(head.status) && head.isSigned;
  }

  #recordFirst(): void {
    this.#hasEvents = true;
    const { parts } = this.#options;
    parts.metrics.record('limpetbay_first_byte_ms', parts.clock.getNow() - this.#startMs);
  }

  /** Restarts the wait for the next sign of life of a request that can go on elsewhere. */
  #watchSilence(): void {
    const { parts, route, target } = this.#options;
    this.#cancelSilence?.();
    if (route.kind === 'unsafe') return;
    if (route.kind === 'stream' && !route.isResumable) return;
    const objectiveMs = SILENCE_OBJECTIVES * route.objectiveMs;
    const limitMs =
      route.kind === 'stream' ? Math.max(STREAM_SILENCE_MS, objectiveMs) : objectiveMs;
    this.#cancelSilence = parts.timers.schedule(limitMs, () => {
      if (this.#isOver) return;
      this.#stop?.();
      this.#fail('broken', `target ${target.id} was silent for ${Math.round(limitMs)} ms`);
    });
  }

  #fail(
    outcome: AttemptOutcome,
    message: string,
    answer: { head: AnswerHead; body: Buffer } | null = null,
  ): void {
    if (this.#isOver) return;
    const { parts, target, listener } = this.#options;
    parts.picker.getStats(target.id).recordFailure(parts.clock.getNow());
    this.#end();
    listener.acceptResult({ kind: 'failed', outcome, message, answer });
  }

  #end(): void {
    this.#isOver = true;
    this.#cancelSilence?.();
    this.#options.parts.picker.getStats(this.#options.target.id).recordEnd();
  }
}

function isSuccess(status: number): boolean {
  return status >= SUCCESS_STATUSES.first && status <= SUCCESS_STATUSES.last;
}
