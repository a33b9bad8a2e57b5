import {
  isSuccessStatus,
  type DirectRoute,
  type DirectTarget,
  type PromptDecision,
} from '@limpetbay/core';
import type { AttemptResult } from '../request/AttemptResult.js';
import type { SharedPromptBreaker } from './SharedPromptBreaker.js';
import type { TargetEndCheck } from './TargetEndCheck.js';

interface PromptTrackerOptions {
  readonly prompts: SharedPromptBreaker;
  readonly endCheck: TargetEndCheck;
  /** Parts of the prompt that other requests may share. */
  readonly parts: readonly string[];
}

type FailedAttempt = Extract<AttemptResult, { kind: 'failed' }>;

/** Batches of events after which a target is certain not to end on the request. */
const BATCHES_OF_SOUND_ANSWER = 2;

/** Reports what the attempts of one request do to their targets to the circuit breaker. */
export class PromptTracker {
  readonly #options: PromptTrackerOptions;

  /** Suspected parts for which the current attempt is the only one in the deployment. */
  #trialParts: readonly string[] = [];

  /** Batches of events that the current attempt has received. */
  #batches = 0;

  constructor(options: PromptTrackerOptions) {
    this.#options = options;
  }

  /** Decides whether the request may be sent. */
  check(): PromptDecision {
    return this.#options.prompts.check(this.#options.parts);
  }

  /** Asks for a trial. @returns whether the request may be sent */
  async acquireTrial(parts: readonly string[]): Promise<boolean> {
    const isGranted = await this.#options.prompts.acquireTrial(parts);
    if (isGranted) this.#trialParts = parts;
    return isGranted;
  }

  endTrial(): void {
    if (this.#trialParts.length === 0) return;
    this.#options.prompts.endTrial(this.#trialParts);
    this.#trialParts = [];
  }

  startAttempt(): void {
    this.#batches = 0;
  }

  handleEvents(): void {
    this.#batches += 1;
    if (this.#batches === BATCHES_OF_SOUND_ANSWER) this.#recordBegun();
  }

  /** Handles a complete answer. Only a success shows that the target worked on the prompt. */
  handleDone(route: DirectRoute, status: number): void {
    const hasBegun = route.kind === 'stream' ? this.#batches > 0 : isSuccessStatus(status);
    if (hasBegun) this.#recordBegun();
    else this.endTrial();
  }

  /** Returns whether the request may have ended the target of a failed attempt. */
  isSuspect(result: FailedAttempt): boolean {
    const hasParts = this.#options.parts.length > 0;
    return result.isCut && hasParts && this.#batches < BATCHES_OF_SOUND_ANSWER;
  }

  /** Returns whether the request must wait for `checkEnd` before it is sent again. */
  shouldAwaitEndCheck(result: FailedAttempt): boolean {
    // Many requests wait in the queue of a target when it ends; they need not.
    return result.progress !== 'none' || this.#trialParts.length > 0;
  }

  /** Checks whether the target of a suspect request has ended, and records it. */
  async checkEnd(target: DirectTarget, result: FailedAttempt): Promise<boolean> {
    const { prompts, endCheck, parts } = this.#options;
    const hasEnded = await endCheck.hasEnded(target);
    if (hasEnded) prompts.recordEnd(target, parts, result.progress !== 'none');
    return hasEnded;
  }

  #recordBegun(): void {
    this.#options.prompts.recordBegun(this.#options.parts);
    this.endTrial();
  }
}
