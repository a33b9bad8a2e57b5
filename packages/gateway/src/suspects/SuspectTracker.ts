import {
  isSuccessStatus,
  type DirectRoute,
  type DirectTarget,
  type SuspectDecision,
} from '@limpetbay/core';
import type { AttemptResult } from '../request/AttemptResult.js';
import type { SharedSuspectBreaker } from './SharedSuspectBreaker.js';
import type { TargetEndCheck } from './TargetEndCheck.js';

interface SuspectTrackerOptions {
  readonly breaker: SharedSuspectBreaker;
  readonly endCheck: TargetEndCheck;
  readonly suspects: readonly string[];
}

type FailedAttempt = Extract<AttemptResult, { kind: 'failed' }>;

type Trial = Extract<SuspectDecision, { kind: 'trial' }>;

/** Batches of events after which the begin of an answer is over. */
const BATCHES_OF_BEGUN_ANSWER = 2;

/** Reports what the attempts of one request do to their targets to the circuit breaker. */
export class SuspectTracker {
  /** Fingerprint of the request, and the parts of its prompt that other requests may share. */
  readonly suspects: readonly string[];

  readonly #options: SuspectTrackerOptions;

  /** Suspects for which the current attempt is the only one in the deployment. */
  #onTrial: readonly string[] = [];

  /** Batches of events that the current attempt has received. */
  #batches = 0;

  #isResumed = false;

  constructor(options: SuspectTrackerOptions) {
    this.#options = options;
    this.suspects = options.suspects;
  }

  /** Decides whether the request may be sent. */
  check(): SuspectDecision {
    return this.#options.breaker.check(this.suspects);
  }

  /** Asks for a trial. @returns whether the request may be sent */
  async acquireTrial({ suspects, isRequired }: Trial): Promise<boolean> {
    const grant = await this.#options.breaker.acquireTrial(suspects, isRequired);
    if (grant === 'granted') this.#onTrial = suspects;
    return grant === 'granted' || (grant === 'unknown' && !isRequired);
  }

  endTrial(): void {
    if (this.#onTrial.length === 0) return;
    this.#options.breaker.endTrial(this.#onTrial);
    this.#onTrial = [];
  }

  /** @param isResumed whether the attempt continues an answer that another one began */
  startAttempt(isResumed: boolean): void {
    this.#batches = 0;
    this.#isResumed = isResumed;
  }

  handleEvents(): void {
    this.#batches += 1;
    if (this.#batches !== BATCHES_OF_BEGUN_ANSWER) return;
    this.#options.breaker.recordBegun(this.suspects);
    this.#endClearedTrials();
  }

  /**
   * Handles a complete answer. Only a success shows that the target worked on the request, and only
   * a whole one that it did not end on a part of it.
   */
  handleDone(route: DirectRoute, status: number): void {
    const hasRun = route.kind === 'stream' ? this.#batches > 0 : isSuccessStatus(status);
    if (hasRun && !this.#isResumed) this.#options.breaker.recordComplete(this.suspects);
    this.endTrial();
  }

  /** Returns whether the request may have ended the target of a failed attempt. */
  isSuspect(result: FailedAttempt): boolean {
    return result.isCut;
  }

  /** Returns whether the begin of the current answer is over. */
  isMidway(): boolean {
    return this.#batches >= BATCHES_OF_BEGUN_ANSWER;
  }

  /** Returns whether targets have ended on something that the request carries. */
  hasEnds(): boolean {
    return this.#options.breaker.hasEnds(this.suspects);
  }

  /** Checks whether the target of a suspect request has ended, and records it. */
  async checkEnd(
    route: DirectRoute,
    target: DirectTarget,
    result: FailedAttempt,
  ): Promise<boolean> {
    const { breaker, endCheck } = this.#options;
    const isMidway = this.isMidway();
    const hasEnded = await endCheck.hasEnded(target);
    // Only streams show by the head of their answer that they left the queue of the target.
    const hadHead = route.kind !== 'stream' || result.progress !== 'none';
    if (hasEnded) breaker.recordEnd(target, this.suspects, { hadHead, isMidway });
    return hasEnded;
  }

  /** Ends the trials of what is suspected no more; the others last until the end of the answer. */
  #endClearedTrials(): void {
    const { breaker } = this.#options;
    const cleared: string[] = [];
    const remaining: string[] = [];
    for (const id of this.#onTrial) (breaker.hasEnds([id]) ? remaining : cleared).push(id);
    if (cleared.length > 0) breaker.endTrial(cleared);
    this.#onTrial = remaining;
  }
}
