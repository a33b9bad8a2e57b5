import {
  BodyBuffer,
  EventSplitter,
  decideAnswer,
  evaluateHead,
  isContinuation,
  type AwaitedAnswer,
  type BudgetedBody,
  type DirectRoute,
  type DirectTarget,
  type HeadMeaning,
  type PaceOutcome,
  type ReceivedAnswer,
} from '@limpetbay/core';
import type { AnswerTransport } from '@limpetbay/targets';
import type { AnswerHead } from '../ports/AnswerHead.js';
import type { AnswerTrace } from './AnswerTrace.js';
import type { AttemptListener } from './AttemptListener.js';
import type { AttemptProgress } from './AttemptProgress.js';
import type { RequestContext } from './RequestContext.js';

interface AttemptRunOptions {
  readonly context: RequestContext;
  readonly route: DirectRoute;
  readonly target: DirectTarget;
  readonly awaited: AwaitedAnswer;
  readonly call: {
    readonly method: string;
    readonly url: string;
    readonly headers: readonly string[];
    readonly body: Buffer;
  };
  readonly listener: AttemptListener;
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

/** Largest body that is forwarded. */
const MAX_BODY_BYTES = 8_388_608;

/** Bodies up to this size are forwarded only when they are complete. */
const MAX_COLLECTED_BYTES = 16_384;

/**
 * What a connection holds at most of a body that is not read from it: one read of its socket and one
 * of its parser.
 */
const MAX_UNREAD_BYTES = 131_072;

/**
 * Most bytes of a stream without a complete event that has data: the largest event, or comments that
 * only keep the connection open.
 */
const MAX_BYTES_WITHOUT_DATA = 262_144;

/** Largest body that is received, and not kept, once nobody waits for the answer. */
const MAX_UNUSED_BODY_BYTES = 65_536;

/** Time after which an answer that nobody waits for is given up; longer if its route allows more. */
const UNUSED_ANSWER_TIMEOUT_MS = 10_000;

/** Smaller incomplete events are not counted in the budget, since most streams have one at times. */
const MIN_COUNTED_EVENT_BYTES = 16_384;

const BUDGET_CAUSE = 'the bodies of all answers take too much memory';

const UNUSED_ANSWER_CAUSE = 'nobody waits for the answer any more';

/** One attempt: sends a request to one target and evaluates the answer. */
export class AttemptRun {
  readonly #options: AttemptRunOptions;

  readonly #splitter: EventSplitter;

  readonly #startMs: number;

  #head: AnswerHead | null = null;

  #meaning: HeadMeaning | null = null;

  #transport: AnswerTransport | null = null;

  #events = 0;

  #firstEventId: string | null = null;

  readonly #body: BodyBuffer;

  /** The incomplete event of a stream, as the budget sees it. */
  readonly #event: BudgetedBody = { evict: () => this.#abandon(BUDGET_CAUSE) };

  /** What the connection may hold of a body, as the budget sees it. */
  readonly #unread: BudgetedBody = { isPinned: () => true, evict: () => {} };

  #unreadBytes = 0;

  /** Whether the body is passed on as it arrives. */
  #isForwarding = false;

  #bodyBytes = 0;

  /** Whether nobody waits for the answer any more. */
  #isUnused = false;

  #hasFirstByte = false;

  /** From the send to the first event or the complete body, milliseconds. */
  #firstByteMs = 0;

  #hasEnded = false;

  #cancelCall: (() => void) | null = null;

  #cancelProgressTimeout: (() => void) | null = null;

  constructor(options: AttemptRunOptions) {
    this.#options = options;
    this.#splitter = new EventSplitter(options.awaited.resumedAfter);
    this.#startMs = options.context.clock.getNow();
    this.#body = new BodyBuffer({
      maxBytes: MAX_BODY_BYTES,
      budget: options.context.answerBudget,
      isPinned: () => this.#canForward(),
      onEvicted: () => this.#abandon(BUDGET_CAUSE),
    });
  }

  start(): void {
    const { context, route, target, call } = this.#options;
    context.picker.getStats(target.id).recordSent(this.#startMs);
    context.pace.recordSent(target);
    this.#restartProgressTimeout();
    this.#reserveUnread(context.bodySizes.getLargest(route.name));
    this.#cancelCall = context.getPool(target.address).send(
      {
        ...call,
        body: call.body.length > 0 ? call.body : null,
        maxIdleMs: route.kind === 'unsafe' ? MAX_UNSAFE_IDLE_MS : MAX_IDLE_MS,
      },
      {
        onHead: (status, headers, transport) =>
          this.#handleHead(context.codec.readAnswer(status, headers), transport),
        onData: (data) => this.#handleData(data),
        onEnd: () => this.#finish('complete'),
        onFailure: (message, neverSent) => this.#finish(neverSent ? 'unsent' : 'cut', message),
      },
    );
  }

  /** Cancels the attempt by closing the connection, on which the target drops the request. */
  cancel(): void {
    if (this.#hasEnded) return;
    if (!this.#hasFirstByte) this.#recordPace('abandoned');
    this.#end();
    this.#cancelCall?.();
  }

  /**
   * Handles that nobody waits for the answer any more. The target may go on with the request, but
   * what it answers is not kept, and the connection is closed if the answer is long or late.
   */
  discardAnswer(): void {
    if (this.#hasEnded) return;
    this.#isUnused = true;
    this.#body.clear();
    this.#transport?.setPaused(false);
    if (this.#bodyBytes > MAX_UNUSED_BODY_BYTES) {
      this.#abandon(UNUSED_ANSWER_CAUSE);
      return;
    }
    const { context, route } = this.#options;
    const timeoutMs = Math.max(UNUSED_ANSWER_TIMEOUT_MS, route.timeoutMs);
    this.#cancelProgressTimeout?.();
    this.#cancelProgressTimeout = context.timers.schedule(timeoutMs, () =>
      this.#abandon(UNUSED_ANSWER_CAUSE),
    );
  }

  /** Stops to read the answer until `resume` is called, which keeps its target from sending more. */
  suspend(): void {
    if (this.#hasEnded) return;
    this.#cancelProgressTimeout?.();
    this.#transport?.setPaused(true);
  }

  resume(): void {
    if (this.#hasEnded) return;
    this.#restartProgressTimeout();
    this.#transport?.setPaused(false);
  }

  #handleHead(head: AnswerHead, transport: AnswerTransport): void {
    if (this.#hasEnded) return;
    const { context, target, awaited } = this.#options;
    this.#head = head;
    this.#transport = transport;
    this.#meaning = evaluateHead(awaited, head, transport.isFirst);
    if (this.#meaning !== 'foreign') this.#recordHold(head);
    if (this.#meaning === 'foreign') this.#abandon();
    else context.limits.handleAnswer(target, head.rateLimit, this.#startMs);
  }

  #recordHold(head: AnswerHead): void {
    const { context, target } = this.#options;
    if (!context.holds.handleAnswer(target, head)) return;
    const { status, isLeaving, retryAfterMs } = head;
    context.log.report('target wants no further requests', {
      target: target.id,
      status,
      isLeaving,
      retryAfterMs,
    });
  }

  #handleData(data: Buffer): void {
    if (this.#hasEnded) return;
    if (this.#head === null || this.#meaning !== 'events') {
      this.#collectBody(data);
      return;
    }
    const events = this.#splitter.push(data);
    const eventBytes = this.#splitter.countPendingBytes();
    const countedBytes = eventBytes < MIN_COUNTED_EVENT_BYTES ? 0 : eventBytes;
    this.#options.context.bodyBudget.update(this.#event, countedBytes);
    if (this.#hasEnded) return;
    if (this.#splitter.countBytesWithoutData() > MAX_BYTES_WITHOUT_DATA) {
      this.#abandon(`no complete event with data within ${MAX_BYTES_WITHOUT_DATA} bytes`);
      return;
    }
    if (events.count === 0) return;
    this.#firstEventId ??= events.firstId;
    if (!isContinuation(this.#options.awaited.resumedAfter, this.#firstEventId)) {
      this.#abandon();
      return;
    }
    if (!this.#hasFirstByte) this.#recordFirstByte();
    this.#events += events.count;
    this.#restartProgressTimeout();
    this.#options.listener.onEvents(this.#head, events.bytes, this.#splitter.getLastId());
  }

  /** Counts what the connection may hold unread of a body of this size. */
  #reserveUnread(bodyBytes: number): void {
    const bytes = Math.min(bodyBytes, MAX_UNREAD_BYTES);
    if (bytes <= MAX_COLLECTED_BYTES || bytes <= this.#unreadBytes) return;
    this.#unreadBytes = bytes;
    this.#options.context.answerBudget.update(this.#unread, bytes);
  }

  #collectBody(data: Buffer): void {
    this.#bodyBytes += data.length;
    const { context, route } = this.#options;
    context.bodySizes.record(route.name, this.#bodyBytes);
    this.#reserveUnread(this.#bodyBytes);
    if (this.#isUnused) {
      if (this.#bodyBytes > MAX_UNUSED_BODY_BYTES) this.#abandon(UNUSED_ANSWER_CAUSE);
    } else if (this.#bodyBytes > MAX_BODY_BYTES) {
      this.#abandon(`the body is longer than ${MAX_BODY_BYTES} bytes`);
    } else if (this.#isForwarding) this.#forward([data]);
    else {
      this.#body.append(data);
      if (!this.#hasEnded && this.#shouldForward()) this.#startForwarding();
    }
  }

  /** Returns whether the head allows to pass the body on before its end. */
  #canForward(): boolean {
    return this.#meaning === 'answer' && !this.#options.awaited.hasBegun;
  }

  /**
   * A body is collected, so that another target may still take over a request that is repeatable. Where
   * memory is short, it is passed on at the pace of its caller instead.
   */
  #shouldForward(): boolean {
    if (this.#bodyBytes <= MAX_COLLECTED_BYTES || !this.#canForward()) return false;
    if ((this.#transport?.length ?? 0) > MAX_BODY_BYTES) return false;
    return this.#options.context.answerBudget.isShort();
  }

  #startForwarding(): void {
    const { context, awaited, target } = this.#options;
    context.metrics.increase('limpetbay_forwarded_bodies_total');
    context.log.report('memory is short; the answer is passed on as it arrives', {
      id: awaited.requestId,
      target: target.id,
      bytes: this.#bodyBytes,
      length: this.#transport?.length,
      answerBytes: context.answerBudget.countBytes(),
    });
    this.#isForwarding = true;
    this.#recordFirstByte();
    this.#forward(this.#body.takeBlocks());
  }

  #forward(parts: readonly Buffer[]): void {
    this.#restartProgressTimeout();
    const length = this.#transport?.length ?? null;
    this.#options.listener.onBody(this.#head as AnswerHead, parts, length);
  }

  /** Gives up the answer and closes its connection. */
  #abandon(cause?: string): void {
    if (this.#hasEnded) return;
    this.#cancelCall?.();
    this.#finish('abandoned', cause);
  }

  #recordFirstByte(): void {
    this.#hasFirstByte = true;
    const { context } = this.#options;
    this.#firstByteMs = context.clock.getNow() - this.#startMs;
    context.metrics.record('limpetbay_first_byte_ms', this.#firstByteMs);
    this.#recordPace('begun', this.#firstByteMs);
  }

  #recordPace(
    outcome: PaceOutcome,
    durationMs = this.#options.context.clock.getNow() - this.#startMs,
  ): void {
    const { context, target, route } = this.#options;
    context.pace.recordAnswered({ target, route, durationMs, outcome });
  }

  /**
   * Restarts the progress timeout, if another target can repeat or continue the request. Without one,
   * a silent target is waited for, as it may go on; for the timeout of its route, if its answer has begun.
   */
  #restartProgressTimeout(): void {
    const { context, route, target, listener } = this.#options;
    this.#cancelProgressTimeout?.();
    if (this.#isForwarding) {
      this.#cancelProgressTimeout = context.timers.schedule(route.timeoutMs, () =>
        this.#abandon(`target ${target.id} sent nothing for ${Math.round(route.timeoutMs)} ms`),
      );
      return;
    }
    if (route.kind === 'unsafe') return;
    if (route.kind === 'stream' && !route.isResumable) return;
    const objectiveMs = PROGRESS_TIMEOUT_OBJECTIVES * route.objectiveMs;
    const timeoutMs =
      route.kind === 'stream' ? Math.max(MIN_STREAM_PROGRESS_TIMEOUT_MS, objectiveMs) : objectiveMs;
    this.#cancelProgressTimeout = context.timers.schedule(timeoutMs, () => {
      if (!listener.canBeReplaced()) this.#restartProgressTimeout();
      else this.#abandon(`target ${target.id} made no progress for ${Math.round(timeoutMs)} ms`);
    });
  }

  /** @param cause why the attempt ended, if not by its answer */
  #finish(how: ReceivedAnswer['end'] | 'abandoned', cause?: string): void {
    if (this.#hasEnded) return;
    const { context, target, awaited, listener } = this.#options;
    const pendingBytes = this.#splitter.countPendingBytes();
    const decision = decideAnswer(awaited, {
      head: this.#head,
      isFirst: this.#transport?.isFirst ?? true,
      end: how === 'abandoned' ? 'cut' : how,
      isForwarded: this.#isForwarding,
      events: this.#events,
      firstEventId: this.#firstEventId,
      pendingBytes,
    });
    const stats = context.picker.getStats(target.id);
    if (decision.kind === 'failed') stats.recordFailure(context.clock.getNow());
    else if (!this.#hasFirstByte) this.#recordFirstByte();
    // The target is not the cause of an attempt that this entry gave up for want of memory or use.
    const isOwnCause = cause === BUDGET_CAUSE || cause === UNUSED_ANSWER_CAUSE;
    if (decision.kind === 'answered') this.#recordPace('answered', this.#firstByteMs);
    else if (!isOwnCause) this.#recordPace('failed');
    else if (!this.#hasFirstByte) this.#recordPace('abandoned');
    if (this.#meaning === 'misdirected') context.registry.remove(target.id);
    const answer = {
      progress: this.#getProgress(),
      trace: this.#traceAnswer(),
      body: this.#body.takeBlocks(),
    };
    this.#end();
    if (decision.kind === 'answered') {
      listener.onResult({ ...decision, ...answer, head: this.#head as AnswerHead });
      return;
    }
    listener.onResult({
      ...decision,
      ...answer,
      cause: cause ?? decision.cause,
      isCut: how === 'cut' || (how === 'complete' && this.#meaning === 'events'),
      head: this.#head,
    });
  }

  #getProgress(): AttemptProgress {
    if (this.#hasFirstByte || this.#bodyBytes > 0) return 'body';
    return this.#head === null ? 'none' : 'head';
  }

  #traceAnswer(): AnswerTrace {
    const head = this.#head;
    if (head === null) return {};
    const isOwn = head.requestId === this.#options.awaited.requestId;
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
    this.#body.clear();
    this.#options.context.bodyBudget.update(this.#event, 0);
    this.#options.context.answerBudget.update(this.#unread, 0);
    this.#cancelProgressTimeout?.();
    this.#options.context.picker.getStats(this.#options.target.id).recordEnd();
  }
}
