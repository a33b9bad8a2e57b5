import { ErrorKind } from '../errors/ErrorKind.js';
import type { Failure } from '../errors/Failure.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RequestId } from '../ids/RequestId.js';
import type { LoadReport } from '../admission/LoadReport.js';
import { isSuccessStatus } from '../direct/isSuccessStatus.js';
import type { DropCounts } from './DropCounts.js';
import type { AnswerEvent } from './AnswerEvent.js';
import type { AnswerFrame } from './AnswerFrame.js';

type FailureEnd = Extract<AnswerEvent, { type: 'failed' }>['end'];

/**
 * Assembles the answer of one attempt from its frames. Frames of other requests, attempts or
 * incarnations of the target are dropped and counted. An answer is complete only after an end frame
 * with matching counts; any other end of the stream is a failure.
 */
export class AnswerAssembler {
  readonly #requestId: RequestId;

  readonly #attempt: number;

  readonly #drops = { request: 0, attempt: 0, incarnation: 0, repeated: 0, late: 0 };

  readonly #hasBegun: boolean;

  #incarnation: Incarnation | 0;

  #state: 'waiting' | 'headed' | 'ended' = 'waiting';

  #chunks = 0;

  #bytes = 0;

  #tokens: number;

  /**
   * @param incarnation incarnation of the target in the attempt. All frames repeat it, even a
   *   refusal by a later incarnation. 0 uses the incarnation of the first frame of this attempt
   * @param resumeFrom number of tokens that the caller has received from earlier attempts
   * @param hasBegun whether the caller has received the head of an earlier attempt
   */
  constructor(
    requestId: RequestId,
    attempt: number,
    incarnation: Incarnation | 0,
    resumeFrom = 0,
    hasBegun = false,
  ) {
    this.#requestId = requestId;
    this.#attempt = attempt;
    this.#incarnation = incarnation;
    this.#tokens = resumeFrom;
    this.#hasBegun = hasBegun;
  }

  /** @returns the event for the caller, or null for a dropped frame */
  handleFrame(frame: AnswerFrame): AnswerEvent | null {
    if (!this.#matches(frame)) return null;
    const { part } = frame;
    switch (part.type) {
      case 'accepted':
        return { type: 'accepted', load: part.load };
      case 'progress':
        return { type: 'progress' };
      case 'head': {
        if (this.#state === 'headed') return this.#drop('repeated');
        const { status, headers, replayed } = part;
        if (this.#hasBegun && !isSuccessStatus(status)) {
          return this.#abort(`the target answered a resumed stream with status ${status}`, null);
        }
        this.#state = 'headed';
        return { type: 'head', status, headers, replayed };
      }
      case 'chunk': {
        if (this.#state !== 'headed') return this.#abort('received a chunk before the head', null);
        if (part.sequence < this.#chunks) return this.#drop('repeated');
        if (part.sequence > this.#chunks) return this.#abort('a chunk is missing', null);
        this.#chunks += 1;
        this.#bytes += part.data.byteLength;
        this.#tokens += part.tokens;
        return { type: 'bytes', data: part.data, tokens: part.tokens };
      }
      case 'end':
        return this.#handleEnd(part.chunks, part.bytes, part.load);
      case 'refused':
        return this.#handleRefusal(part);
      case 'failed': {
        const { kind, message, load } = part;
        return this.#fail('failed', { kind: normalizeKind(kind), message }, load);
      }
      default:
        return this.#drop('late');
    }
  }

  /**
   * Handles the end of the stream without an end frame, or the entry's decision to give it up.
   *
   * @param end `silent` if the stream timed out without a frame
   * @returns null if the last event has already been returned
   */
  handleBreak(end: 'broken' | 'silent'): AnswerEvent | null {
    if (this.#state === 'ended') return null;
    const message = `the answer stream ended without an end frame (${end})`;
    return this.#fail(end, { kind: 'answer_incomplete', message }, null);
  }

  /** Returns the number of tokens that the caller has received; another target may resume there. */
  getResumeOffset(): number {
    return this.#tokens;
  }

  /** Returns whether the head was returned, so that the status can no longer be changed. */
  hasHead(): boolean {
    return this.#state === 'headed' || this.#chunks > 0;
  }

  getDropCounts(): DropCounts {
    return { ...this.#drops };
  }

  #matches(frame: AnswerFrame): boolean {
    if (frame.requestId !== this.#requestId) this.#drop('request');
    else if (frame.attempt !== this.#attempt) this.#drop('attempt');
    else if (this.#incarnation !== 0 && frame.incarnation !== this.#incarnation) {
      this.#drop('incarnation');
    } else if (this.#state === 'ended') this.#drop('late');
    else {
      this.#incarnation = frame.incarnation;
      return true;
    }
    return false;
  }

  #handleEnd(chunks: number, bytes: number, load: LoadReport): AnswerEvent {
    if (this.#state !== 'headed') return this.#abort('received the end before the head', load);
    if (chunks !== this.#chunks || bytes !== this.#bytes) {
      return this.#abort('the counts in the end frame do not match the received data', load);
    }
    this.#state = 'ended';
    return { type: 'complete', load };
  }

  #handleRefusal({
    kind,
    message,
    retryAfterMs,
    load,
  }: {
    readonly kind: string;
    readonly message: string;
    readonly retryAfterMs: number;
    readonly load: LoadReport;
  }): AnswerEvent {
    // The target has started to answer, so it has run the request despite the refusal.
    if (this.#state === 'headed') return this.#abort('received a refusal after the head', load);
    return this.#fail('refused', { kind: normalizeKind(kind), message, retryAfterMs }, load);
  }

  #abort(message: string, load: LoadReport | null): AnswerEvent {
    return this.#fail('broken', { kind: 'answer_incomplete', message }, load);
  }

  #fail(end: FailureEnd, failure: Failure, load: LoadReport | null): AnswerEvent {
    this.#state = 'ended';
    return { type: 'failed', end, failure, load };
  }

  #drop(reason: keyof DropCounts): null {
    this.#drops[reason] += 1;
    return null;
  }
}

/** An error kind that this version does not know does not show whether the request was run. */
function normalizeKind(kind: string): ErrorKind {
  const parsed = ErrorKind.safeParse(kind);
  return parsed.success ? parsed.data : 'outcome_unknown';
}
