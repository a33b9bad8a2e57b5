import {
  AnswerAssembler,
  answerTable,
  type Attempt,
  type Failure,
  type Incarnation,
  type RequestId,
  type RouteDecision,
  type TargetId,
} from '@limpetbay/core';
import type { CallerAnswer, CallerRequest } from '@limpetbay/callers';

interface RequestRunOptions {
  readonly id: RequestId;
  readonly request: CallerRequest;
  readonly answer: CallerAnswer;
  readonly repeatable: boolean;
  /** Whether the answer can be continued on another target. */
  readonly resumable: boolean;
  /** Monotonic milliseconds. */
  readonly deadlineAtMs: number;
  readonly configRevision: number;
  readonly prefixHashes: readonly string[];
}

interface CurrentAttempt {
  readonly decision: RouteDecision;
  readonly address: string;
  readonly assembler: AnswerAssembler;
  readonly cancel: () => void;
}

/** The state of one request in an entry, across all its attempts. */
export class RequestRun {
  readonly id: RequestId;

  readonly request: CallerRequest;

  readonly answer: CallerAnswer;

  readonly repeatable: boolean;

  readonly resumable: boolean;

  readonly deadlineAtMs: number;

  readonly prefixHashes: readonly string[];

  readonly #configRevision: number;

  /** Targets that the router must not pick again. */
  readonly tried = new Set<TargetId>();

  #attempts = 0;

  #mayHaveRun = false;

  #isEnded = false;

  #resumeFrom = 0;

  #current: CurrentAttempt | null = null;

  #lastTarget: TargetId | null = null;

  #failure: Failure | null = null;

  constructor(options: RequestRunOptions) {
    this.id = options.id;
    this.request = options.request;
    this.answer = options.answer;
    this.repeatable = options.repeatable;
    this.resumable = options.resumable;
    this.deadlineAtMs = options.deadlineAtMs;
    this.prefixHashes = options.prefixHashes;
    this.#configRevision = options.configRevision;
  }

  /** Number of attempts sent. */
  get attemptCount(): number {
    return this.#attempts;
  }

  /** Key of the last attempt, unique among all attempts of this entry. */
  get streamKey(): string {
    return `${this.id}/${this.#attempts}`;
  }

  /** Whether an ended attempt may have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun;
  }

  get isEnded(): boolean {
    return this.#isEnded;
  }

  /**
   * Whether targets that have failed may be tried again. They may if the connection to the target
   * failed; they may not if the target refused the request without running it.
   */
  get canRetryFailedTargets(): boolean {
    return this.#failure !== null && answerTable[this.#failure.kind].run !== 'no';
  }

  /** The attempt in progress, if any. */
  get currentAttempt(): CurrentAttempt | null {
    return this.#current;
  }

  /** Builds the next attempt for a decision. */
  buildAttempt(decision: RouteDecision, nowMs: number): Attempt {
    const { request } = this;
    return {
      requestId: this.id,
      attempt: this.#attempts + 1,
      service: request.service,
      target: decision.target,
      incarnation: decision.incarnation,
      workspace: request.workspace,
      priority: request.priority,
      deadlineMs: this.deadlineAtMs - nowMs,
      repeatable: this.repeatable,
      idempotencyKey: request.idempotencyKey,
      keyTimeMs: request.keyTimeMs,
      method: request.method,
      path: request.path,
      headers: [...request.headers],
      body: request.body,
      resumeFrom: this.#resumeFrom,
      promptTokens: request.promptTokens,
      maxTokens: request.maxTokens,
      configRevision: this.#configRevision,
      stream: request.stream,
    };
  }

  /** Records that an attempt was sent. @returns the assembler of its answer */
  startAttempt(decision: RouteDecision, address: string): AnswerAssembler {
    this.#attempts += 1;
    this.tried.add(decision.target);
    this.#lastTarget = decision.target;
    const { incarnation }: { incarnation: Incarnation } = decision;
    const assembler = new AnswerAssembler(
      this.id,
      this.#attempts,
      incarnation,
      this.#resumeFrom,
      this.answer.isStarted(),
    );
    this.#current = { decision, address, assembler, cancel: () => undefined };
    return assembler;
  }

  /** Sets the function that cancels the attempt in progress. */
  setCancel(cancel: () => void): void {
    if (this.#current !== null) this.#current = { ...this.#current, cancel };
  }

  /** Records the failure of the attempt that has ended. */
  recordFailure(failure: Failure): void {
    this.#failure = failure;
    // The refusal reported the new incarnation, so the same target may accept the next attempt.
    if (failure.kind === 'stale_incarnation' && this.#lastTarget !== null) {
      this.tried.delete(this.#lastTarget);
    }
  }

  /** Failure of the last failed attempt; null if none has failed. */
  get lastFailure(): Failure | null {
    return this.#failure;
  }

  /** Ends the attempt in progress; the next one resumes after the tokens received so far. */
  endAttempt(mayHaveRun: boolean): void {
    if (this.#current === null) return;
    this.#mayHaveRun ||= mayHaveRun;
    this.#resumeFrom = this.#current.assembler.getResumeOffset();
    this.#current = null;
  }

  end(): void {
    this.#isEnded = true;
    this.#current = null;
  }
}
