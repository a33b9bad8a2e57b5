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

/** Batches of events after which a target is certain not to end on the request. */
const BATCHES_OF_SOUND_ANSWER = 2;

/** Reports what the attempts of one request do to their targets to the circuit breaker. */
export class SuspectTracker {
  /** Fingerprint of the request, and the parts of its prompt that other requests may share. */
  readonly suspects: readonly string[];

  readonly #options: SuspectTrackerOptions;

  /** Suspects for which the current attempt is the only one in the deployment. */
  #onTrial: readonly string[] = [];

  /** Batches of events that the current attempt has received. */
  #batches = 0;

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

  startAttempt(): void {
    this.#batches = 0;
  }

  handleEvents(): void {
    this.#batches += 1;
    if (this.#batches === BATCHES_OF_SOUND_ANSWER) this.#recordBegun();
  }

  /** Handles a complete answer. Only a success shows that the target worked on the request. */
  handleDone(route: DirectRoute, status: number): void {
    const hasBegun = route.kind === 'stream' ? this.#batches > 0 : isSuccessStatus(status);
    if (hasBegun) this.#recordBegun();
    else this.endTrial();
  }

  /** Returns whether the request may have ended the target of a failed attempt. */
  isSuspect(result: FailedAttempt): boolean {
    return result.isCut && this.#batches < BATCHES_OF_SOUND_ANSWER;
  }

  /** Checks whether the target of a suspect request has ended, and records it. */
  async checkEnd(
    route: DirectRoute,
    target: DirectTarget,
    result: FailedAttempt,
  ): Promise<boolean> {
    const { breaker, endCheck } = this.#options;
    const hasEnded = await endCheck.hasEnded(target);
    // Only streams show by the head of their answer that they left the queue of the target.
    const mayHaveBegun = route.kind !== 'stream' || result.progress !== 'none';
    if (hasEnded) breaker.recordEnd(target, this.suspects, mayHaveBegun);
    return hasEnded;
  }

  #recordBegun(): void {
    this.#options.breaker.recordBegun(this.suspects);
    this.endTrial();
  }
}
