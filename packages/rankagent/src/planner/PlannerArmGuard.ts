import type { OrderAnswer, RankStatus } from '@limpetbay/core';

/** A pass of a formation of the group. */
interface HeldPass {
  readonly epoch: number;
  readonly step: number;
}

/** A change of map at a held pass. */
interface HeldChange extends HeldPass {
  /** Version of the map for which ranks are armed. */
  readonly version: number;
}

/**
 * - `not_armed`: the planner's rank is not armed for the pass, and will not be after `refuse`.
 * - `armed`: it is, and so are all others.
 * - `unknown`: an order to arm it may still be carried out.
 */
type PlannerArmState = 'not_armed' | 'armed' | 'unknown';

/**
 * Knows whether the planner's rank is armed for the pass that the rank of this agent holds. If the
 * machine of the planner fails during a switch, its rank cannot be asked. Therefore the agent of the
 * holder arms that rank, after all others, and can end the switch without it.
 */
export class PlannerArmGuard {
  /** Epoch in which this process has seen its rank without a hold. */
  #freeEpoch: number | null = null;

  /** The last change for which the planner's rank was to be armed. */
  #last: (HeldChange & { state: PlannerArmState }) | null = null;

  /** The last pass for which it will not be armed any more. */
  #refused: HeldPass | null = null;

  /** Records the status of the own rank. A hold that is older than this process may be armed for. */
  recordStatus({ epoch, held }: RankStatus): void {
    if (held === null) this.#freeEpoch = epoch;
  }

  /** Begins to arm the planner's rank. @returns false if it must not be armed */
  begin(change: HeldChange): boolean {
    if (isSamePass(this.#refused, change)) return false;
    if (!this.#isLast(change)) this.#last = { ...change, state: 'unknown' };
    return true;
  }

  /** Records the answer of the planner's rank. */
  finish(change: HeldChange, answer: OrderAnswer): void {
    if (!this.#isLast(change) || this.#last === null) return;
    if (answer === 'done') this.#last.state = 'armed';
  }

  /** Returns the state for one change; that of an earlier one at the same pass says nothing of it. */
  getState(change: HeldChange): PlannerArmState {
    if (this.#last !== null && this.#isLast(change)) return this.#last.state;
    return this.#freeEpoch === change.epoch ? 'not_armed' : 'unknown';
  }

  /** Ensures that this process does not arm the planner's rank for a pass any more. */
  refuse(pass: HeldPass): void {
    this.#refused = { epoch: pass.epoch, step: pass.step };
  }

  #isLast(change: HeldChange): boolean {
    return isSamePass(this.#last, change) && this.#last?.version === change.version;
  }
}

function isSamePass(pass: HeldPass | null, other: HeldPass): boolean {
  return pass?.epoch === other.epoch && pass.step === other.step;
}
