import {
  EventSplitter,
  type AttemptOutcome,
  type DirectRoute,
  type DirectTarget,
} from '@limpetbay/core';
import type { AnswerTransport } from '@limpetbay/targets';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AnswerTrace } from './AnswerTrace.js';
import type { AttemptListener } from './AttemptListener.js';
import type { AttemptProgress } from './AttemptProgress.js';
import { isSuccessStatus } from './isSuccessStatus.js';
import type { RequestContext } from './RequestContext.js';

interface AttemptRunOptions {
  readonly context: RequestContext;
  readonly route: DirectRoute;
  readonly target: DirectTarget;
  readonly requestId: string;
  /** Whether the caller has received earlier events of the stream. */
  readonly isResumed: boolean;
  readonly call: {
    readonly method: string;
    readonly url: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
  };
  readonly listener: AttemptListener;
}

interface FailureDetails {
  /** Error answer of the target that may be forwarded to the caller. */
  readonly answer?: { readonly head: AnswerHead; readonly body: Buffer } | null;
  /** Whether the connection broke before the end of the answer. */
  readonly isCut?: boolean;
}

/**
 * Longest idle time of a connection that is reused for a request that may not be repeated. The
 * target may close a connection that was idle for longer while the request is in transit; then it
 * is unknown whether the request ran.
 */
const MAX_UNSAFE_IDLE_MS = 500;

/** Longest idle time of a connection that is reused for a request that may be repeated. */
const MAX_IDLE_MS = 3000;

/** Progress timeout of an attempt, as a multiple of the latency objective of its route. */
const PROGRESS_TIMEOUT_OBJECTIVES = 3;

/** Shortest progress timeout of a stream, after which another target continues it. */
const MIN_STREAM_PROGRESS_TIMEOUT_MS = 1400;

/** Largest body that is collected before it is forwarded. */
const MAX_BODY_BYTES = 8_388_608;

/** Largest event of a stream; an incomplete one is kept until its end arrives. */
const MAX_EVENT_BYTES = 262_144;

/** Lowest status that counts as a failure of the target. */
const FIRST_FAILURE_STATUS = 500;

/** One attempt: sends a request to one target and evaluates the answer. */
export class AttemptRun {
  readonly #options: AttemptRunOptions;

  readonly #splitter = new EventSplitter();

  readonly #startMs: number;

  #head: AnswerHead | null = null;

  #transport: AnswerTransport | null = null;

  #events = 0;

  #chunks: Buffer[] = [];

  #bodyBytes = 0;

  #hasFirstByte = false;

  #hasEnded = false;

  #cancelCall: (() => void) | null = null;

  #cancelProgressTimeout: (() => void) | null = null;

  constructor(options: AttemptRunOptions) {
    this.#options = options;
    this.#startMs = options.context.clock.getNow();
  }

  start(): void {
    const { context, route, target, call } = this.#options;
    context.picker.getStats(target.id).recordSent(this.#startMs);
    this.#restartProgressTimeout();
    this.#cancelCall = context.getPool(target.address).send(
      {
        ...call,
        body: call.body.length > 0 ? call.body : null,
        maxIdleMs: route.kind === 'unsafe' ? MAX_UNSAFE_IDLE_MS : MAX_IDLE_MS,
      },
      {
        onHead: (status, headers, transport) => {
          this.#transport = transport;
          this.#handleHead(context.codec.readAnswer(status, headers));
        },
        onData: (data) => this.#handleData(data),
        onEnd: () => this.#handleEnd(),
        onFailure: (message, neverSent) =>
          this.#fail(neverSent ? 'unreachable' : 'broken', message, { isCut: !neverSent }),
      },
    );
  }

  /** Cancels the attempt by closing the connection, on which the target drops the request. */
  cancel(): void {
    if (this.#hasEnded) return;
    this.#end();
    this.#cancelCall?.();
  }

  #handleHead(head: AnswerHead): void {
    if (this.#hasEnded) return;
    this.#head = head;
    if (head.isMisdirected) return;
    const isOwn = head.requestId === this.#options.requestId;
    const { context, target } = this.#options;
    if (isOwn) context.limits.handleAnswer(target, head.rateLimit, this.#startMs);
    if (isOwn || head.isNotRun) return;
    this.#cancelCall?.();
    this.#fail('broken', 'the answer carries the id of another request');
  }

  #handleData(data: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#head === null || !this.#isEventStream(this.#head)) {
      this.#bodyBytes += data.length;
      if (this.#bodyBytes <= MAX_BODY_BYTES) this.#chunks.push(data);
      else this.#abandon(`the body is longer than ${MAX_BODY_BYTES} bytes`);
      return;
    }
    const events = this.#splitter.push(data);
    if (this.#splitter.countPendingBytes() > MAX_EVENT_BYTES) {
      this.#abandon(`an event is longer than ${MAX_EVENT_BYTES} bytes`);
      return;
    }
    if (events.count === 0) return;
    if (!this.#hasFirstByte) this.#recordFirstByte();
    this.#events += events.count;
    this.#restartProgressTimeout();
    this.#options.listener.onEvents(this.#head, events.bytes, events.lastId);
  }

  #handleEnd(): void {
    if (this.#hasEnded) return;
    const head = this.#head as AnswerHead;
    const body = Buffer.concat(this.#chunks);
    if (this.#isEventStream(head) && this.#isStreamCut()) {
      this.#fail('broken', 'the stream ended before or inside an event', { isCut: true });
    } else if (head.isMisdirected) {
      this.#options.context.registry.remove(this.#options.target.id);
      this.#fail('rejected', 'another target now has the address');
    } else if (head.isNotRun) {
      this.#fail('rejected', `the target rejected the request with status ${head.status}`);
    } else if (isSuccessStatus(head.status) && !head.isSigned) {
      this.#fail('broken', 'the answer is not signed');
    } else if (head.status >= FIRST_FAILURE_STATUS) {
      this.#fail('failed', `the target answered with status ${head.status}`, {
        answer: { head, body },
      });
    } else {
      if (!this.#hasFirstByte) this.#recordFirstByte();
      this.#end();
      this.#options.listener.onResult({ kind: 'done', head, body, trace: this.#traceAnswer() });
    }
  }

  #isEventStream(head: AnswerHead): boolean {
    return this.#options.route.kind === 'stream' && isSuccessStatus(head.status) && head.isSigned;
  }

  /** Returns whether a stream that has ended lacks a part. A resumed one may have nothing to add. */
  #isStreamCut(): boolean {
    const isEmpty = !this.#hasFirstByte && !this.#options.isResumed;
    return isEmpty || this.#splitter.countPendingBytes() > 0;
  }

  /** Gives up an answer that would take too much memory. */
  #abandon(message: string): void {
    this.#cancelCall?.();
    this.#fail('broken', message);
  }

  #recordFirstByte(): void {
    this.#hasFirstByte = true;
    const { context } = this.#options;
    context.metrics.record('limpetbay_first_byte_ms', context.clock.getNow() - this.#startMs);
  }

  /** Restarts the progress timeout, if another target can repeat or continue the request. */
  #restartProgressTimeout(): void {
    const { context, route, target } = this.#options;
    this.#cancelProgressTimeout?.();
    if (route.kind === 'unsafe') return;
    if (route.kind === 'stream' && !route.isResumable) return;
    const objectiveMs = PROGRESS_TIMEOUT_OBJECTIVES * route.objectiveMs;
    const timeoutMs =
      route.kind === 'stream' ? Math.max(MIN_STREAM_PROGRESS_TIMEOUT_MS, objectiveMs) : objectiveMs;
    this.#cancelProgressTimeout = context.timers.schedule(timeoutMs, () => {
      if (this.#hasEnded) return;
      this.#cancelCall?.();
      this.#fail('broken', `target ${target.id} made no progress for ${Math.round(timeoutMs)} ms`);
    });
  }

  #fail(
    outcome: AttemptOutcome,
    message: string,
    { answer = null, isCut = false }: FailureDetails = {},
  ): void {
    if (this.#hasEnded) return;
    const { context, target, listener } = this.#options;
    context.picker.getStats(target.id).recordFailure(context.clock.getNow());
    this.#end();
    listener.onResult({
      kind: 'failed',
      outcome,
      message,
      progress: this.#getProgress(),
      trace: this.#traceAnswer(),
      isCut,
      answer,
    });
  }

  #getProgress(): AttemptProgress {
    if (this.#hasFirstByte || this.#chunks.length > 0) return 'body';
    return this.#head === null ? 'none' : 'head';
  }

  #traceAnswer(): AnswerTrace {
    const head = this.#head;
    if (head === null) return {};
    const { requestId } = this.#options;
    const isOwn = head.requestId === requestId;
    return {
      status: head.status,
      answerId: isOwn ? 'own' : (head.requestId ?? 'none'),
      isSigned: head.isSigned,
      isNotRun: head.isNotRun,
      framing: this.#transport?.framing,
      isFirst: this.#transport?.isFirst,
      bytes: this.#bodyBytes,
      events: this.#events,
    };
  }

  #end(): void {
    this.#hasEnded = true;
    this.#cancelProgressTimeout?.();
    this.#options.context.picker.getStats(this.#options.target.id).recordEnd();
  }
}
