import type { AdmissionItem, AdmissionSample, Attempt, Claim, Header } from '@limpetbay/core';
import type { AnswerWriter } from './AnswerWriter.js';

interface AttemptRunOptions {
  readonly attempt: Attempt;
  readonly item: AdmissionItem;
  readonly writer: AnswerWriter;
  /** Whether the attempt may run twice, by the documents of both entry and agent. */
  readonly repeatable: boolean;
}

/** State of one attempt in the agent, from its arrival to its end. */
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

  readonly #bodyParts: Uint8Array[] = [];

  constructor(options: AttemptRunOptions) {
    this.attempt = options.attempt;
    this.item = options.item;
    this.writer = options.writer;
    this.repeatable = options.repeatable;
  }

  /** Request id and attempt number; unique among all entries. */
  get key(): string {
    return `${this.attempt.requestId}/${this.attempt.attempt}`;
  }

  /** Phase of the attempt; `running` once it was dispatched to the target. */
  get phase(): 'queued' | 'claiming' | 'running' | 'ended' {
    return this.#phase;
  }

  /** Claim on the idempotency key; null if there is none. */
  get claim(): Claim | null {
    return this.#claim;
  }

  /** HTTP status of the target's answer; 0 before it was received. */
  get status(): number {
    return this.#status;
  }

  get headers(): readonly Header[] {
    return this.#headers;
  }

  /** Whether the deadline has passed. */
  isExpired(nowMs: number): boolean {
    return nowMs >= this.item.deadlineMs;
  }

  startClaim(): void {
    this.#phase = 'claiming';
  }

  setClaim(claim: Claim | null): void {
    this.#claim = claim;
  }

  /** Records that the attempt is dispatched to the target. */
  recordDispatch(nowMs: number): void {
    this.#phase = 'running';
    this.#startedAtMs = nowMs;
  }

  /** @param cancelTarget cancels the call to the target */
  setCancel(cancelTarget: () => void): void {
    this.#cancelTarget = cancelTarget;
  }

  cancelCall(): void {
    this.#cancelTarget?.();
  }

  recordHead(status: number, headers: readonly Header[]): void {
    this.#status = status;
    this.#headers = headers;
  }

  /** Records a part of the answer; the body of a claimed request is kept for its stored outcome. */
  recordData(data: Uint8Array, tokens: number, nowMs: number): void {
    if (this.#claim !== null) this.#bodyParts.push(data);
    if (tokens === 0) return;
    if (this.#tokens === 0) this.#firstTokenAtMs = nowMs;
    this.#tokens += tokens;
  }

  /** Returns the body of the answer; empty for an attempt without a claim. */
  getBody(): Uint8Array {
    return Buffer.concat(this.#bodyParts);
  }

  end(): void {
    this.#phase = 'ended';
  }

  /**
   * Returns the measured times for admission.
   *
   * @param error whether the call to the target failed
   */
  measure(nowMs: number, error: boolean): AdmissionSample {
    const tokenIntervals = this.#tokens - 1;
    return {
      serviceTimeMs: nowMs - this.#startedAtMs,
      stepTimeMs: tokenIntervals > 0 ? (nowMs - this.#firstTokenAtMs) / tokenIntervals : 0,
      error,
    };
  }
}
