import { ErrorKind } from '../errors/ErrorKind.js';
import type { Failure } from '../errors/Failure.js';
import type { Incarnation } from '../ids/Incarnation.js';
import type { RequestId } from '../ids/RequestId.js';
import type { LoadReport } from '../admission/LoadReport.js';
import type { AnswerDrops } from './AnswerDrops.js';
import type { AnswerEvent } from './AnswerEvent.js';
import type { AnswerFrame } from './AnswerFrame.js';

type FailedEnd = Extract<AnswerEvent, { type: 'failed' }>['end'];

/**
 * Puts the frames of one attempt together. Frames of other requests, attempts or lives of the target
 * are dropped and counted. An answer is complete only with its end frame and matching counts; every
 * other end of the stream is a failure.
 */
export class AnswerAssembler {
  readonly #requestId: RequestId;

  readonly #attempt: number;

  readonly #drops = { request: 0, attempt: 0, incarnation: 0, repeated: 0, late: 0 };

  #incarnation: Incarnation | 0;

  #stage: 'waiting' | 'headed' | 'ended' = 'waiting';

  #chunks = 0;

  #bytes = 0;

  #tokens: number;

  /**
   * @param incarnation life of the target that the attempt named; frames repeat it, also a refusal by
   *   a later life. 0 takes the one of the first frame of this attempt
   * @param resumeFrom tokens that the caller received from earlier attempts
   */
  constructor(requestId: RequestId, attempt: number, incarnation: Incarnation | 0, resumeFrom = 0) {
    this.#requestId = requestId;
    this.#attempt = attempt;
    this.#incarnation = incarnation;
    this.#tokens = resumeFrom;
  }

  /** @returns the event for the caller, or null for a dropped frame */
  accept(frame: AnswerFrame): AnswerEvent | null {
    if (!this.#matches(frame)) return null;
    const { part } = frame;
    switch (part.type) {
      case 'accepted':
        return { type: 'accepted', load: part.load };
      case 'progress':
        return { type: 'progress' };
      case 'head': {
        if (this.#stage === 'headed') return this.#drop('repeated');
        this.#stage = 'headed';
        const { status, headers, replayed } = part;
        return { type: 'head', status, headers, replayed };
      }
      case 'chunk': {
        if (this.#stage !== 'headed') return this.#break('a chunk came before the head', null);
        if (part.sequence < this.#chunks) return this.#drop('repeated');
        if (part.sequence > this.#chunks) return this.#break('a chunk is missing', null);
        this.#chunks += 1;
        this.#bytes += part.data.byteLength;
        this.#tokens += part.tokens;
        return { type: 'bytes', data: part.data, tokens: part.tokens };
      }
      case 'end':
        return this.#acceptEnd(part.chunks, part.bytes, part.load);
      case 'refused':
        return this.#acceptRefusal(part);
      case 'failed': {
        const { kind, message, load } = part;
        return this.#fail('failed', { kind: normalizeKind(kind), message }, load);
      }
      default:
        return this.#drop('late');
    }
  }

  /**
   * The stream ended without an end frame, or the entry gave it up.
   *
   * @param end `silent` when no frame came for too long
   * @returns null if the last event was given before
   */
  acceptBreak(end: 'broken' | 'silent'): AnswerEvent | null {
    if (this.#stage === 'ended') return null;
    const message = `the stream of the answer is ${end}`;
    return this.#fail(end, { kind: 'answer_incomplete', message }, null);
  }

  /** Tokens that the caller has after the events so far: where another target may go on. */
  getResumeOffset(): number {
    return this.#tokens;
  }

  /** Whether the head was given, so that the caller's status cannot be changed any more. */
  hasHead(): boolean {
    return this.#stage === 'headed' || this.#chunks > 0;
  }

  getDrops(): AnswerDrops {
    return { ...this.#drops };
  }

  #matches(frame: AnswerFrame): boolean {
    if (frame.requestId !== this.#requestId) this.#drop('request');
    else if (frame.attempt !== this.#attempt) this.#drop('attempt');
    else if (this.#incarnation !== 0 && frame.incarnation !== this.#incarnation) {
      this.#drop('incarnation');
    } else if (this.#stage === 'ended') this.#drop('late');
    else {
      this.#incarnation = frame.incarnation;
      return true;
    }
    return false;
  }

  #acceptEnd(chunks: number, bytes: number, load: LoadReport): AnswerEvent {
    if (this.#stage !== 'headed') return this.#break('the end came before the head', load);
    if (chunks !== this.#chunks || bytes !== this.#bytes) {
      return this.#break('the counts of the end do not match', load);
    }
    this.#stage = 'ended';
    return { type: 'complete', load };
  }

  #acceptRefusal({
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
    // A target that has begun to answer has run the request, whatever the agent says afterwards.
    if (this.#stage === 'headed') return this.#break('a refusal came after the head', load);
    return this.#fail('refused', { kind: normalizeKind(kind), message, retryAfterMs }, load);
  }

  #break(message: string, load: LoadReport | null): AnswerEvent {
    return this.#fail('broken', { kind: 'answer_incomplete', message }, load);
  }

  #fail(end: FailedEnd, failure: Failure, load: LoadReport | null): AnswerEvent {
    this.#stage = 'ended';
    return { type: 'failed', end, failure, load };
  }

  #drop(reason: keyof AnswerDrops): null {
    this.#drops[reason] += 1;
    return null;
  }
}

/** A kind from a newer agent that this process does not know says nothing about the run. */
function normalizeKind(kind: string): ErrorKind {
  const parsed = ErrorKind.safeParse(kind);
  return parsed.success ? parsed.data : 'outcome_unknown';
}
