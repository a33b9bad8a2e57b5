import type { AdmissionItem, AdmissionSample, Attempt, Claim, Header } from '@limpetbay/core';
import type { AnswerWriter } from './AnswerWriter.js';

interface AttemptRunOptions {
  readonly attempt: Attempt;
  readonly item: AdmissionItem;
  readonly writer: AnswerWriter;
  /** Whether it may run twice, by the documents of both entry and agent. */
  readonly repeatable: boolean;
}

/** What an agent knows about one attempt, from its arrival to its end. */
export class AttemptRun {
  readonly attempt: Attempt;

  readonly item: AdmissionItem;

  readonly writer: AnswerWriter;

  readonly repeatable: boolean;

  #phase: 'queued' | 'claiming' | 'running' | 'ended' = 'queued';

  #claim: Claim | null = null;

  #cancelTarget: (() => void) | null = null;

  #startedAtMs = 0;

  #firstTokenAtMs = 0;

  #tokens = 0;

  #status = 0;

  #headers: readonly Header[] = [];

  readonly #parts: Uint8Array[] = [];

  constructor(options: AttemptRunOptions) {
    this.attempt = options.attempt;
    this.item = options.item;
    this.writer = options.writer;
    this.repeatable = options.repeatable;
  }

  /** Request id and attempt number; unique over all entries. */
  get key(): string {
    return `${this.attempt.requestId}/${this.attempt.attempt}`;
  }

  /** `running` from the hand-over on. */
  get phase(): 'queued' | 'claiming' | 'running' | 'ended' {
    return this.#phase;
  }

  get claim(): Claim | null {
    return this.#claim;
  }

  /** HTTP status of the target's answer; 0 before it came. */
  get status(): number {
    return this.#status;
  }

  get headers(): readonly Header[] {
    return this.#headers;
  }

  /** Whether the deadline has passed. */
  isLate(nowMs: number): boolean {
    return nowMs >= this.item.deadlineMs;
  }

  startClaim(): void {
    this.#phase = 'claiming';
  }

  acceptClaim(claim: Claim | null): void {
    this.#claim = claim;
  }

  /** Notes the hand-over to the target. */
  startRun(nowMs: number): void {
    this.#phase = 'running';
    this.#startedAtMs = nowMs;
  }

  setCancel(cancelTarget: () => void): void {
    this.#cancelTarget = cancelTarget;
  }

  cancelCall(): void {
    this.#cancelTarget?.();
  }

  acceptHead(status: number, headers: readonly Header[]): void {
    this.#status = status;
    this.#headers = headers;
  }

  /** Takes a part of the answer; the body of a keyed request is kept for its outcome. */
  acceptData(data: Uint8Array, tokens: number, nowMs: number): void {
    if (this.#claim !== null) this.#parts.push(data);
    if (tokens === 0) return;
    if (this.#tokens === 0) this.#firstTokenAtMs = nowMs;
    this.#tokens += tokens;
  }

  /** Returns the body of a keyed request's answer. */
  getBody(): Uint8Array {
    return Buffer.concat(this.#parts);
  }

  end(): void {
    this.#phase = 'ended';
  }

  /** Returns the measured times for admission. */
  measure(nowMs: number, error: boolean): AdmissionSample {
    const gaps = this.#tokens - 1;
    return {
      serviceTimeMs: nowMs - this.#startedAtMs,
      stepTimeMs: gaps > 0 ? (nowMs - this.#firstTokenAtMs) / gaps : 0,
      error,
    };
  }
}
