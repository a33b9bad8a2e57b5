import type { Clock } from '../clock/Clock.js';
import type { Epoch } from '../ids/Epoch.js';
import type { Revision } from '../ids/Revision.js';
import type { PlannerLeaseState } from './PlannerLeaseState.js';

/**
 * Share of the lease that the holder leaves unused. Covers clocks that run at different rates and
 * the time between a check and the action behind it.
 */
const MARGIN = 0.25;

const NOT_HELD: PlannerLeaseState = {
  heldUntilMs: -Infinity,
  epoch: 0 as Epoch,
  revision: 0 as Revision,
};

/**
 * The planner lease as its holder sees it. It ends by the holder's own clock, measured from before
 * the request, so it ends before the store gives it to another. A holder that was paused finds it
 * ended when it next asks, and must ask before each action.
 */
export class PlannerLease {
  readonly #clock: Clock;

  #state: PlannerLeaseState;

  constructor(clock: Clock, state: PlannerLeaseState = NOT_HELD) {
    this.#clock = clock;
    this.#state = state;
  }

  getState(): PlannerLeaseState {
    return this.#state;
  }

  /** Whether the holder may act now. */
  isHeld(): boolean {
    return this.#clock.getNow() < this.#state.heldUntilMs;
  }

  /**
   * Notes that the lease was acquired.
   *
   * @param sentAtMs reading of the clock before the lease was requested
   */
  accept(sentAtMs: number, ttlMs: number, epoch: Epoch, revision: Revision): void {
    this.#state = { heldUntilMs: sentAtMs + ttlMs * (1 - MARGIN), epoch, revision };
  }

  /** Notes a renewal. One that comes after the end does not revive the lease. */
  renew(sentAtMs: number, ttlMs: number): void {
    if (!this.isHeld()) return;
    this.#state = { ...this.#state, heldUntilMs: sentAtMs + ttlMs * (1 - MARGIN) };
  }

  /** Gives the lease up. */
  drop(): void {
    this.#state = NOT_HELD;
  }
}
